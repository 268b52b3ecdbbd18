package headlimit

import "bytes"

// meter counts the bytes and lines of the head of a request while it arrives, and finds its end.
type meter struct {
	bytes int
	lines int

	begun     bool // a byte other than those of empty lines before the request has arrived
	lineBytes int  // of the current line, not counting carriage returns at its end
}

const (
	// fieldBytes is what each line takes in memory beside its text once it is parsed: a header of many short fields takes
	// many times its length.
	fieldBytes = 200
	// textCopies is how often the text is held while it is parsed.
	textCopies = 2
)

// cost returns how much memory the head takes, in bytes.
func (m *meter) cost() int64 {
	return int64(textCopies*m.bytes + fieldBytes*m.lines)
}

// count adds bytes that belong to the head.
func (m *meter) count(b []byte) {
	m.bytes += len(b)
	m.lines += bytes.Count(b, []byte{'\n'})
}

// scan adds the part of b that belongs to the head and returns its length, and whether the head ends with it.
func (m *meter) scan(b []byte) (n int, ended bool) {
	for n < len(b) && !ended {
		i := bytes.IndexByte(b[n:], '\n')
		if i < 0 {
			m.continueLine(b[n:])
			n = len(b)
			break
		}
		m.continueLine(b[n : n+i])
		ended = m.begun && m.lineBytes == 0
		m.lineBytes = 0
		n += i + 1
	}
	m.count(b[:n])
	return n, ended
}

// continueLine adds a part of a line without its end.
func (m *meter) continueLine(b []byte) {
	if len(bytes.Trim(b, "\r")) > 0 {
		m.begun = true
		m.lineBytes += len(b)
	}
}
