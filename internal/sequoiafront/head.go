package sequoiafront

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
)

// headFactor is the memory of a head relative to its size while it is read: a buffer that doubles, and the decoded lines.
const headFactor = 3

// headReader reads the lines of a request's head, and later those of its trailer. It checks what nbhttp's parser accepts
// although other HTTP implementations reject it or read it differently.
type headReader struct {
	r *bufio.Reader
	// raw holds the lines with their line ends.
	raw []byte
	// bytes counts what has been read, including the trailer.
	bytes  int
	budget *budget
}

// readLine appends the next line to raw and returns it without its line end.
func (h *headReader) readLine() ([]byte, error) {
	begin := len(h.raw)
	for {
		part, err := h.r.ReadSlice('\n')
		if h.bytes += len(part); h.bytes > maxHeaderBytes {
			return nil, errors.WithStack(errHeadTooLarge)
		}
		if err := h.budget.charge(int64(len(part)) * headFactor); err != nil {
			return nil, err
		}
		h.budget.progress(len(part))
		h.raw = append(h.raw, part...)
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
	if err := h.budget.charge(sequoiamemory.LineBytes); err != nil {
		return nil, err
	}
	line, ok := bytes.CutSuffix(h.raw[begin:], []byte("\r\n"))
	if !ok {
		return nil, errors.Wrap(errMalformed, "a line ends without CR")
	}
	return line, nil
}

// readFields reads the lines of header or trailer fields up to the empty line.
func (h *headReader) readFields() error {
	for {
		line, err := h.readLine()
		if err != nil || len(line) == 0 {
			return err
		}
		if err := checkField(line); err != nil {
			return err
		}
	}
}

// checkRequestLine checks a request line: a method, a target in origin form or *, and version 1.0 or 1.1, with one space
// between them.
func checkRequestLine(line []byte) error {
	parts := strings.Split(string(line), " ")
	if len(parts) != 3 {
		return errors.Wrap(errMalformed, "request line")
	}
	method, target, version := parts[0], parts[1], parts[2]
	if method == "" || method != strings.ToUpper(method) {
		return errors.Wrap(errMalformed, "method")
	}
	for _, c := range []byte(target) {
		if c <= ' ' || c >= 0x7f || c == '#' {
			return errors.Wrap(errMalformed, "target")
		}
	}
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		if _, _, ok := http.ParseHTTPVersion(version); ok {
			return errors.WithStack(errVersion)
		}
		return errors.Wrap(errMalformed, "version")
	}
	return nil
}

// checkField checks the line of a field: a token, a colon, and a value without control characters other than tabs.
func checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return errors.Wrap(errMalformed, "name of a field")
	}
	for _, c := range value {
		if c < ' ' && c != '\t' || c == 0x7f {
			return errors.Wrap(errMalformed, "value of a field")
		}
	}
	return nil
}

// tokenChars holds the characters of a token (RFC 9110, section 5.6.2).
var tokenChars = func() (set [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		set[c] = true
	}
	return set
}()

func isToken[T string | []byte](s T) bool {
	for i := range len(s) {
		if !tokenChars[s[i]] {
			return false
		}
	}
	return len(s) > 0
}

// hasToken reports whether a header that is a list contains the token, in any case.
func hasToken(values []string, token string) bool {
	for _, v := range values {
		for t := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(t), token) {
				return true
			}
		}
	}
	return false
}

// requestProcessor builds a request from the calls of nbhttp's parser. The parser is given complete heads only, and no
// bodies, which it would hold in a buffer of its own until they are complete.
type requestProcessor struct {
	nbhttp.Processor
	request *http.Request
	// complete is true once the parser has read the whole head.
	complete bool
}

// emptyProcessor has the methods that a server does not need.
var emptyProcessor = nbhttp.NewEmptyProcessor()

func newRequestProcessor(ctx context.Context) *requestProcessor {
	r := (&http.Request{ProtoMajor: 1, Header: make(http.Header, 8)}).WithContext(ctx)
	return &requestProcessor{Processor: emptyProcessor, request: r}
}

// OnMethod implements nbhttp.Processor.
func (p *requestProcessor) OnMethod(_ *nbhttp.Parser, method string) { p.request.Method = method }

// OnURL implements nbhttp.Processor.
func (p *requestProcessor) OnURL(_ *nbhttp.Parser, target string) error {
	u, err := url.ParseRequestURI(target)
	if err != nil {
		return err
	}
	p.request.RequestURI, p.request.URL = target, u
	return nil
}

// OnProto implements nbhttp.Processor.
func (p *requestProcessor) OnProto(_ *nbhttp.Parser, proto string) error {
	p.request.Proto = proto
	if proto == "HTTP/1.1" {
		p.request.ProtoMinor = 1
	}
	return nil
}

// OnHeader implements nbhttp.Processor.
func (p *requestProcessor) OnHeader(_ *nbhttp.Parser, name, value string) {
	p.request.Header[name] = append(p.request.Header[name], strings.Trim(value, " \t"))
}

// OnContentLength implements nbhttp.Processor. The parser calls it at the end of the head.
func (p *requestProcessor) OnContentLength(*nbhttp.Parser, int) { p.complete = true }

// parseHead returns the request with this complete head, without its body, and with the context.
func parseHead(ctx context.Context, raw []byte) (*http.Request, error) {
	p := newRequestProcessor(ctx)
	// The parser does not use its connection or engine for data that is complete.
	if err := nbhttp.NewParser(nil, nil, p, false, nil).Parse(raw); err != nil {
		return nil, errors.Wrap(errMalformed, err.Error())
	}
	r := p.request
	if !p.complete || r.URL == nil {
		return nil, errors.Wrap(errMalformed, "incomplete head")
	}
	if err := setHost(r); err != nil {
		return nil, err
	}
	if r.ProtoMinor == 0 {
		r.Close = !hasToken(r.Header["Connection"], "keep-alive")
	}
	r.Close = r.Close || hasToken(r.Header["Connection"], "close")
	return r, nil
}

// setHost sets the host of a request. HTTP/1.1 requires exactly one Host header.
func setHost(r *http.Request) error {
	hosts := r.Header["Host"]
	if len(hosts) > 1 || len(hosts) == 0 && r.ProtoMinor == 1 {
		return errors.Wrap(errMalformed, "number of Host headers")
	}
	if len(hosts) == 1 {
		r.Host, r.URL.Host = hosts[0], hosts[0]
	}
	return nil
}

// chunkedLength is the length of a body whose length is not known before its end.
const chunkedLength = -1

// bodyLength returns the length of a request's body. A request whose length could be read in two ways is rejected, since
// the next implementation on its way might read it in the other.
func bodyLength(r *http.Request) (int, error) {
	encodings, lengths := r.Header["Transfer-Encoding"], r.Header["Content-Length"]
	if len(encodings) > 0 {
		if len(lengths) > 0 || len(encodings) > 1 || !strings.EqualFold(encodings[0], "chunked") || r.ProtoMinor == 0 {
			return 0, errors.Wrap(errMalformed, "transfer encoding")
		}
		return chunkedLength, nil
	}
	if len(lengths) == 0 {
		return 0, nil
	}
	if len(lengths) > 1 {
		return 0, errors.Wrap(errMalformed, "more than one length")
	}
	n, err := strconv.ParseUint(lengths[0], 10, 63)
	if err != nil {
		return 0, errors.Wrap(errMalformed, "length")
	}
	return int(n), nil
}

// unexpectedEOF returns an error that does not look like the regular end of the connection.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return errors.WithStack(io.ErrUnexpectedEOF)
	}
	return err
}
