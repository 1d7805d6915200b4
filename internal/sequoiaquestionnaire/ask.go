package sequoiaquestionnaire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrAnswer reports a question that was not answered with an allowed value.
var ErrAnswer = errors.New("no usable answer")

// maximumAttempts limits how often a question is asked, so that the dialog ends if the input is not interactive.
const maximumAttempts = 3

// maximumServices limits the number of services that the user is asked about.
const maximumServices = 1000

// question is the question for one field of the answers.
type question struct {
	field   string
	text    string
	allowed string
	// set parses and stores the answer. It returns an error if the answer is not allowed.
	set func(answer string) error
}

const (
	allowedNumber     = "an integer of 0 or more"
	allowedDuration   = "a duration such as 2s"
	allowedBool       = "true or false"
	allowedText       = "a name"
	allowedPriorities = "Imbalance, Churn, Unavailable"
)

func textQuestion[T ~string](field, prompt, allowed string, target *T, valid func(T) bool) question {
	return question{field, prompt, allowed, func(answer string) error {
		*target = T(answer)
		if !valid(*target) {
			return ErrAnswer
		}
		return nil
	}}
}

func numberQuestion[T int | int64](field, prompt string, target *T) question {
	return question{field, prompt, allowedNumber, func(answer string) error {
		n, err := strconv.ParseInt(answer, 10, 64)
		*target = T(n)
		if err == nil && n < 0 {
			return ErrAnswer
		}
		return err
	}}
}

func boolQuestion(field, prompt string, target *bool) question {
	return question{field, prompt, allowedBool, func(answer string) (err error) {
		*target, err = strconv.ParseBool(answer)
		return err
	}}
}

func durationQuestion(field, prompt string, target *time.Duration) question {
	return question{field, prompt, allowedDuration, func(answer string) (err error) {
		*target, err = time.ParseDuration(answer)
		return err
	}}
}

func notEmpty(s string) bool {
	return s != ""
}

func deploymentQuestions(a *Answers) []question {
	return []question{
		textQuestion("Deployment", "What is the deployment's name?", allowedText, &a.Deployment, notEmpty),
		numberQuestion("FailureDomains", "In how many failure domains are its instances?", &a.FailureDomains),
		numberQuestion("LostFailureDomains", "How many failure domains may be lost at once without losing a key?", &a.LostFailureDomains),
		durationQuestion("LongestUnavailable", "For how long may a key be unavailable after a loss?", &a.LongestUnavailable),
		boolQuestion("FrozenIsHarmless", "Must an upstream that freezes and resumes be unable to do harm?", &a.FrozenIsHarmless),
		boolQuestion("OnCallAtNight", "Is someone on call at night?", &a.OnCallAtNight),
		textQuestion("FirstPriority", "What matters most?", allowedPriorities, &a.FirstPriority, validPriority),
		textQuestion("SecondPriority", "What matters next?", allowedPriorities, &a.SecondPriority, validPriority),
	}
}

func serviceQuestions(s *Service) []question {
	return []question{
		textQuestion("Name", "What is the service's name?", allowedText, &s.Name, notEmpty),
		numberQuestion("Upstreams", "How many upstreams does it have?", &s.Upstreams),
		numberQuestion("Slots", "How many requests does an upstream run at once?", &s.Slots),
		numberQuestion("Connections", "How many connections does an upstream accept?", &s.Connections),
		boolQuestion("Divided", "Must each key be served by only one upstream?", &s.Divided),
		boolQuestion("ChecksGrants", "Do the upstreams check grants?", &s.ChecksGrants),
		numberQuestion("Keys", "How many keys are there?", &s.Keys),
		durationQuestion("LongestRequest", "How long may a request take?", &s.LongestRequest),
		durationQuestion("ResendWindow", "For how long may a caller resend a request that must not be executed twice?", &s.ResendWindow),
		numberQuestion("LargestBodyBytes", "How large is the largest request or response body, in bytes?", &s.LargestBodyBytes),
	}
}

// Ask writes all questions to w and reads one answer per line from r. A question is repeated if its answer is not
// allowed. Ask returns ErrAnswer after the third attempt at a question or at the end of the input.
func Ask(r io.Reader, w io.Writer) (Answers, error) {
	scanner := bufio.NewScanner(r)
	var a Answers
	var services int
	list := append(deploymentQuestions(&a), numberQuestion("Services", "How many services does it have?", &services))
	if err := askAll(scanner, w, list); err != nil {
		return Answers{}, err
	}
	if services > maximumServices {
		return Answers{}, errors.Wrapf(ErrAnswer, "%d services; allowed: up to %d", services, maximumServices)
	}
	a.Services = make([]Service, services)
	for i := range a.Services {
		if err := askAll(scanner, w, serviceQuestions(&a.Services[i])); err != nil {
			return Answers{}, err
		}
	}
	return a, nil
}

func askAll(scanner *bufio.Scanner, w io.Writer, list []question) error {
	for _, q := range list {
		if err := q.ask(scanner, w); err != nil {
			return err
		}
	}
	return nil
}

func (q *question) ask(scanner *bufio.Scanner, w io.Writer) error {
	for range maximumAttempts {
		if _, err := fmt.Fprintf(w, "%s (%s) ", q.text, q.allowed); err != nil {
			return errors.Wrap(err, "write question")
		}
		if !scanner.Scan() {
			if err := scanner.Err(); err != nil {
				return errors.Wrap(err, "read answer")
			}
			return errors.Wrapf(ErrAnswer, "the input ends at the question for %s; allowed: %s", q.field, q.allowed)
		}
		if q.set(strings.TrimSpace(scanner.Text())) == nil {
			return nil
		}
		if _, err := fmt.Fprintf(w, "%q is not %s.\n", scanner.Text(), q.allowed); err != nil {
			return errors.Wrap(err, "write question")
		}
	}
	return errors.Wrapf(ErrAnswer, "%s; allowed: %s", q.field, q.allowed)
}
