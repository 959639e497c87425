package rawcall

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"

	"github.com/zeebo/errs"

	"github.com/balsamhitch/balsamhitch/internal/adapter/httpcall"
)

const (
	maxReply       = 64 << 20 // bytes of a body
	maxHeader      = 64 << 10 // bytes of a header
	maxInterim     = 5        // interim answers (1xx) to one call
	firstBodyBytes = 1 << 20  // memory that an announced length is trusted with
)

// answerHeader is what a header tells about the body.
type answerHeader struct {
	status  int
	length  int64 // -1 if not announced
	chunked bool
	keep    bool // the connection may be used again
}

// readReply reads one answer. keep reports that the connection may be used again.
func readReply(r *bufio.Reader) (reply httpcall.Reply, keep bool, err error) {
	var header answerHeader
	for range maxInterim + 1 {
		if header, err = readHeader(r); err != nil {
			return reply, false, noAnswer(err)
		}
		if header.status >= http.StatusOK || header.status == http.StatusSwitchingProtocols {
			break
		}
	}
	if header.status < http.StatusOK {
		return reply, false, errs.New("the answer has status %d and no final status", header.status)
	}
	reply.Status = header.status
	if reply.Body, err = readBody(r, &header); err != nil {
		return httpcall.Reply{}, false, errs.New("the answer's body cannot be read completely: %w", noAnswer(err))
	}
	return reply, header.keep, nil
}

// noAnswer makes clear that the connection ended before the answer did.
func noAnswer(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func readHeader(r *bufio.Reader) (header answerHeader, err error) {
	line, err := readLine(r)
	if err != nil {
		return header, err
	}
	if header, err = parseStatus(line); err != nil {
		return header, err
	}
	for total := len(line); ; {
		if line, err = readLine(r); err != nil {
			return header, err
		}
		if len(line) == 0 {
			return header, nil
		}
		if total += len(line); total > maxHeader {
			return header, errs.New("the answer's header is larger than %d bytes", maxHeader)
		}
		if err = header.parseField(line); err != nil {
			return header, err
		}
	}
}

// readLine returns a line without its end. It is valid until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, errs.New("a line of the answer's header is longer than %d bytes", readBuffer)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
}

// parseStatus parses the first line, HTTP/1.x STATUS TEXT.
func parseStatus(line []byte) (answerHeader, error) {
	const statusAt, statusEnd = len("HTTP/1.1 "), len("HTTP/1.1 200")
	header := answerHeader{length: -1}
	if !bytes.HasPrefix(line, []byte("HTTP/1.")) || len(line) < statusEnd || line[statusAt-1] != ' ' || len(line) > statusEnd && line[statusEnd] != ' ' {
		return header, errs.New("the answer does not begin with a status: %q", line)
	}
	for _, digit := range line[statusAt:statusEnd] {
		if digit < '0' || digit > '9' {
			return header, errs.New("the answer's status is not a number: %q", line)
		}
		header.status = 10*header.status + int(digit-'0')
	}
	if header.status < http.StatusContinue {
		return header, errs.New("the answer's status is not one of HTTP: %q", line)
	}
	header.keep = line[statusAt-2] == '1'
	if header.status == http.StatusNoContent || header.status == http.StatusNotModified || header.status < http.StatusOK {
		header.length = 0
	}
	return header, nil
}

var (
	nameLength     = []byte("Content-Length")
	nameEncoding   = []byte("Transfer-Encoding")
	nameConnection = []byte("Connection")
)

func (h *answerHeader) parseField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		return errs.New("the answer's header has a line without a name: %q", line)
	}
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, nameLength):
		return h.parseLength(value)
	case bytes.EqualFold(name, nameEncoding):
		if !bytes.EqualFold(value, []byte("chunked")) || h.chunked {
			return errs.New("the answer's transfer encoding %q is not known", value)
		}
		h.chunked = true
	case bytes.EqualFold(name, nameConnection):
		for token := range bytes.SplitSeq(value, []byte{','}) {
			if bytes.EqualFold(bytes.TrimSpace(token), []byte("close")) {
				h.keep = false
			}
		}
	}
	return nil
}

func (h *answerHeader) parseLength(value []byte) error {
	length := int64(0)
	for _, digit := range value {
		if digit < '0' || digit > '9' || length > maxReply {
			return errs.New("the answer's length %q is not a number up to %d", value, maxReply)
		}
		length = 10*length + int64(digit-'0')
	}
	if len(value) == 0 || length > maxReply {
		return errs.New("the answer's length %q is not a number up to %d", value, maxReply)
	}
	if h.status == http.StatusNoContent || h.status == http.StatusNotModified || h.status < http.StatusOK {
		return nil // such an answer has no body
	}
	if h.length >= 0 && h.length != length {
		return errs.New("the answer has the lengths %d and %d", h.length, length)
	}
	h.length = length
	return nil
}

// readBody reads the body that the header announces.
func readBody(r *bufio.Reader, h *answerHeader) ([]byte, error) {
	switch {
	case h.length == 0 && (!h.chunked || h.status == http.StatusNoContent || h.status == http.StatusNotModified):
		return nil, nil
	case h.chunked:
		h.keep = h.keep && h.length < 0 // a header with both cannot be trusted
		return readChunked(r)
	case h.length > 0 && h.length <= firstBodyBytes:
		body := make([]byte, h.length)
		_, err := io.ReadFull(r, body)
		return body, err
	case h.length > 0:
		body, err := readLimited(io.LimitReader(r, h.length))
		if err == nil && int64(len(body)) < h.length {
			err = io.ErrUnexpectedEOF
		}
		return body, err
	default:
		h.keep = false // the body ends with the connection
		return readLimited(r)
	}
}

func readChunked(r *bufio.Reader) ([]byte, error) {
	body, err := readLimited(httputil.NewChunkedReader(r))
	if err != nil {
		return nil, err
	}
	for total := 0; ; { // the trailer
		line, err := readLine(r)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			return body, nil
		}
		if total += len(line); total > maxHeader {
			return nil, errs.New("the trailer is larger than %d bytes", maxHeader)
		}
	}
}

func readLimited(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, maxReply+1))
	if err == nil && len(body) > maxReply {
		err = errs.New("it is larger than %d bytes", maxReply)
	}
	return body, err
}
