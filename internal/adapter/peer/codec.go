package peer

import (
	"bufio"
	"errors"
	"io"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/balsamhitch/balsamhitch/internal/pb/peerpb"
)

// BadFrame is the class of errors for input that is not an acceptable frame:
// undecodable, too large, of another version or of the wrong kind. The connection
// that it arrived on is closed.
var BadFrame = errs.Class("bad peer frame")

// readFrame reads one frame of at most limit bytes. After an error other than
// io.EOF the position of the reader is undefined.
func readFrame(reader *bufio.Reader, limit int) (*peerpb.Frame, error) {
	frame := new(peerpb.Frame)
	options := protodelim.UnmarshalOptions{MaxSize: int64(limit)}
	err := options.UnmarshalFrom(reader, frame)
	var tooLarge *protodelim.SizeTooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return nil, BadFrame.New("frame of %d bytes exceeds the limit of %d", tooLarge.Size, tooLarge.MaxSize)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return nil, err
	case errors.Is(err, proto.Error):
		return nil, BadFrame.New("frame can't be decoded")
	case err != nil:
		return nil, err
	}
	return frame, checkVersion(frame)
}

func checkVersion(frame *peerpb.Frame) error {
	if frame.GetVersion() != protocolVersion {
		return BadFrame.New("frame has protocol version %d, this process speaks %d", frame.GetVersion(), protocolVersion)
	}
	return nil
}

// writeFrame sets the frame's version and writes it without flushing.
func writeFrame(writer *bufio.Writer, frame *peerpb.Frame) error {
	frame.Version = protocolVersion
	_, err := protodelim.MarshalTo(writer, frame)
	return err
}
