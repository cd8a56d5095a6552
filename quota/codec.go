package quota

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// The messages of an exchange are encoded as arrays with the shortest form of
// each integer, since they make up most of the control traffic.

// EncodeMsgpack encodes the part as two integers.
func (p Amount) EncodeMsgpack(e *msgpack.Encoder) error {
	return firstError(
		e.EncodeArrayLen(2),
		e.EncodeInt(int64(p.Rate)),
		e.EncodeInt(int64(p.Burst)),
	)
}

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (p *Amount) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil || n != 2 {
		return badLength("part", n, err)
	}
	rate, err := d.DecodeInt64()
	if err != nil {
		return err
	}
	burst, err := d.DecodeInt64()
	*p = Amount{Rate: Units(rate), Burst: Units(burst)}
	return err
}

const askFields = 5

// EncodeMsgpack encodes the request as an array.
func (a LoanRequest) EncodeMsgpack(e *msgpack.Encoder) error {
	return firstError(
		e.EncodeArrayLen(askFields),
		e.EncodeUint(a.Seq),
		e.EncodeUint(a.Applied),
		a.Hold.EncodeMsgpack(e),
		encodeTokens(e, a.Tokens),
		a.Want.EncodeMsgpack(e),
	)
}

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (a *LoanRequest) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil || n != askFields {
		return badLength("request", n, err)
	}
	if a.Seq, err = d.DecodeUint64(); err != nil {
		return err
	}
	if a.Applied, err = d.DecodeUint64(); err != nil {
		return err
	}
	if err = a.Hold.DecodeMsgpack(d); err != nil {
		return err
	}
	if a.Tokens, err = d.DecodeFloat64(); err != nil {
		return err
	}
	return a.Want.DecodeMsgpack(d)
}

const grantFields = 5

// EncodeMsgpack encodes the reply as an array.
func (g Grant) EncodeMsgpack(e *msgpack.Encoder) error {
	return firstError(
		e.EncodeArrayLen(grantFields),
		e.EncodeUint(g.Seq),
		g.Add.EncodeMsgpack(e),
		encodeTokens(e, g.Tokens),
		g.Target.EncodeMsgpack(e),
		e.EncodeBool(g.Lost),
	)
}

// DecodeMsgpack reads what EncodeMsgpack wrote.
func (g *Grant) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil || n != grantFields {
		return badLength("grant", n, err)
	}
	if g.Seq, err = d.DecodeUint64(); err != nil {
		return err
	}
	if err = g.Add.DecodeMsgpack(d); err != nil {
		return err
	}
	if g.Tokens, err = d.DecodeFloat64(); err != nil {
		return err
	}
	if err = g.Target.DecodeMsgpack(d); err != nil {
		return err
	}
	g.Lost, err = d.DecodeBool()
	return err
}

// encodeTokens writes no tokens, the usual case, as one byte.
func encodeTokens(e *msgpack.Encoder, tokens float64) error {
	if tokens == 0 {
		return e.EncodeInt(0)
	}
	return e.EncodeFloat64(tokens)
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// FieldCountError says that an encoded message has another number of fields.
type FieldCountError struct {
	Message string
	Fields  int
}

// Error names the message and the number.
func (e *FieldCountError) Error() string {
	return fmt.Sprintf("quota %s has %d fields", e.Message, e.Fields)
}

func badLength(message string, n int, err error) error {
	if err != nil {
		return err
	}
	return &FieldCountError{Message: message, Fields: n}
}
