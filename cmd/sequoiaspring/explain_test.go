package main

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("explain with --process", func() {
	var answer, query string
	var status int
	var server *httptest.Server
	BeforeEach(func() {
		status = http.StatusOK
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			query = r.URL.Path + "?" + r.URL.RawQuery
			w.WriteHeader(status)
			_, _ = w.Write([]byte(answer))
		}))
		DeferCleanup(server.Close)
	})
	explain := func(more ...string) (code int, stdout, stderr string) {
		var out, errs bytes.Buffer
		args := append([]string{"explain", "--process", strings.TrimPrefix(server.URL, "http://")}, more...)
		code = execute(context.Background(), args, &out, &errs)
		return code, out.String(), errs.String()
	}

	It("prints the holder of a key and what would happen", func() {
		answer = `{"Instance":"a","Domain":"north","ConfigurationVersion":7,"Quarantine":"Unknown","Route":"parts","Services":[
			{"Service":"desk","Weight":3,"Keyed":true,"Action":"Refuse","Reason":"Unreachable",
			"Key":{"Key":5,"From":0,"To":99,"Holder":"b","Upstream":"u-b","Fence":12,"TableRevision":40,"Known":true,"Cold":true}}]}`
		code, out, _ := explain("--host", "shop.example", "--path", "/parts/?x=1&y", "--key", "5", "--bytes", "900")
		Expect(code).To(Equal(exitOK))
		Expect(query).To(Equal("/explain?bytes=900&host=shop.example&key=5&path=%2Fparts%2F%3Fx%3D1%26y"))
		for _, want := range []string{"refuse it: Unreachable", "0 to 99", "b (upstream u-b), unreachable, cold", "not known", "weight 3 of 3"} {
			Expect(out).To(ContainSubstring(want))
		}
	})

	It("prints the candidates and whether leaving pays", func() {
		answer = `{"Route":"parts","Services":[{"Service":"desk","Weight":1,"Action":"Send","Target":"b",
			"Choice":{"Chosen":"b","Leaves":true,"Compare":true,"GainMilliseconds":80.5,"CostMilliseconds":16,"Sampled":true},
			"Candidates":[{"Instance":"b","Domain":"south","FinishMilliseconds":90,"Slots":6,"Reported":true,"AgeMilliseconds":20}],
			"LeftOut":[{"Instance":"c","Domain":"north","Reason":"Leaving","Slots":6}],"Omitted":2}]}`
		code, out, _ := explain("--host", "h", "--path", "/")
		Expect(code).To(Equal(exitOK))
		for _, want := range []string{"send it to b", "pays: gains 80.5 ms, must gain more than 16.0 ms", "20 ms ago", "Leaving", "never", "2 more", "random sample"} {
			Expect(out).To(ContainSubstring(want))
		}
	})

	It("says that the key is missing", func() {
		answer = `{"Services":[{"Service":"desk","Weight":1,"Keyed":true,"Action":"Refuse","Reason":"BadRequest"}]}`
		_, out, _ := explain("--host", "h", "--path", "/")
		Expect(out).To(ContainSubstring("refuse it: BadRequest (the service is divided by key; give --key)"))
	})

	It("prints the answer as it is with --json", func() {
		answer = `{"Route":"parts","Services":[]}`
		_, out, _ := explain("--host", "h", "--path", "/", "--json")
		Expect(out).To(Equal(answer))
	})

	// Guards against an operator who takes an error for an answer.
	DescribeTable("says what is wrong",
		func(answered int, body string, code int, message string, more ...string) {
			status, answer = answered, body
			got, out, errs := explain(append([]string{"--host", "h", "--path", "/"}, more...)...)
			Expect(got).To(Equal(code))
			Expect(out).To(BeEmpty())
			Expect(errs).To(ContainSubstring(message))
		},
		Entry("no configuration", 503, `{"Error":"NoConfiguration","Detail":"not read yet"}`, exitFailure, "NoConfiguration: not read yet"),
		Entry("no route", 404, `{"Error":"NoRoute","Detail":"no match","ConfigurationVersion":7}`, exitFailure, "NoRoute: no match (configuration version 7)"),
		Entry("a bad key", 400, `{"Error":"BadRequest","Detail":"key: want a number"}`, exitInput, "key: want a number"),
		Entry("another server", 404, "404 page not found\n", exitFailure, "is no process that explains requests: status 404"),
		Entry("a negative size", 200, "{}", exitInput, "--bytes", "--bytes=-1"),
	)

	It("says that the process was not reached", func() {
		server.Close()
		code, _, errs := explain("--host", "h", "--path", "/")
		Expect(code).To(Equal(exitFailure))
		Expect(errs).To(ContainSubstring("the process was not reached"))
	})

	It("says which options are missing", func() {
		code, _, errs := explain("--host", "h")
		Expect(code).To(Equal(exitInput))
		Expect(errs).To(ContainSubstring("--path"))
		var stderr bytes.Buffer
		Expect(execute(context.Background(), []string{"explain", "--key", "k"}, &bytes.Buffer{}, &stderr)).To(Equal(exitInput))
		Expect(stderr.String()).To(ContainSubstring("--service"))
	})
})
