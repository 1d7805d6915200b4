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

// ErrAnswer reports a question that got no usable answer.
var ErrAnswer = errors.New("no usable answer")

// maximumAttempts bounds how often a question is asked, so that input that is not a person's ends.
const maximumAttempts = 3

// maximumServices bounds the services that a person is asked about.
const maximumServices = 1000

// question asks for one field of the answers.
type question struct {
	field   string
	text    string
	allowed string
	// set stores an answer and returns an error for one that is not allowed.
	set func(answer string) error
}

const (
	allowedNumber     = "an integer of 0 or more"
	allowedDuration   = "a duration such as 2s"
	allowedBool       = "true or false"
	allowedText       = "a name"
	allowedPriorities = "Imbalance, Churn, Unavailable"
)

func text[T ~string](field, prompt, allowed string, target *T, valid func(T) bool) question {
	return question{field, prompt, allowed, func(answer string) error {
		*target = T(answer)
		if !valid(*target) {
			return ErrAnswer
		}
		return nil
	}}
}

func number[T int | int64](field, prompt string, target *T) question {
	return question{field, prompt, allowedNumber, func(answer string) error {
		n, err := strconv.ParseInt(answer, 10, 64)
		*target = T(n)
		if err == nil && n < 0 {
			return ErrAnswer
		}
		return err
	}}
}

func boolean(field, prompt string, target *bool) question {
	return question{field, prompt, allowedBool, func(answer string) (err error) {
		*target, err = strconv.ParseBool(answer)
		return err
	}}
}

func duration(field, prompt string, target *time.Duration) question {
	return question{field, prompt, allowedDuration, func(answer string) (err error) {
		*target, err = time.ParseDuration(answer)
		return err
	}}
}

func notEmpty(s string) bool {
	return s != ""
}

func questions(a *Answers) []question {
	return []question{
		text("Deployment", "What is the deployment's name?", allowedText, &a.Deployment, notEmpty),
		number("FailureDomains", "In how many failure domains are its instances?", &a.FailureDomains),
		number("LostFailureDomains", "How many failure domains may be lost at once without losing a key?", &a.LostFailureDomains),
		duration("LongestUnavailable", "For how long may a key be unavailable after a loss?", &a.LongestUnavailable),
		boolean("FrozenIsHarmless", "Must an upstream that freezes and resumes be unable to do harm?", &a.FrozenIsHarmless),
		boolean("OnCallAtNight", "Is someone on call at night?", &a.OnCallAtNight),
		text("FirstPriority", "What matters most?", allowedPriorities, &a.FirstPriority, validPriority),
		text("SecondPriority", "What matters next?", allowedPriorities, &a.SecondPriority, validPriority),
	}
}

func serviceQuestions(s *Service) []question {
	return []question{
		text("Name", "What is the service's name?", allowedText, &s.Name, notEmpty),
		number("Upstreams", "How many upstreams does it have?", &s.Upstreams),
		number("Slots", "How many requests does an upstream run at once?", &s.Slots),
		number("Connections", "How many connections does an upstream accept?", &s.Connections),
		boolean("Divided", "May each key be served by one upstream only?", &s.Divided),
		boolean("ChecksGrants", "Do the upstreams check grants?", &s.ChecksGrants),
		number("Keys", "How many keys are there?", &s.Keys),
		duration("LongestRequest", "How long may a request take?", &s.LongestRequest),
		duration("ResendWindow", "Within what time may a caller send a request again that must not be repeated?", &s.ResendWindow),
		number("LargestBodyBytes", "How many bytes has the largest request or response body?", &s.LargestBodyBytes),
	}
}

// Ask asks all questions on w and reads an answer a line from r. A question without a usable answer is repeated, and
// gives ErrAnswer after the third attempt or at the end of the input.
func Ask(r io.Reader, w io.Writer) (Answers, error) {
	scanner := bufio.NewScanner(r)
	var a Answers
	var services int
	list := append(questions(&a), number("Services", "How many services does it have?", &services))
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
