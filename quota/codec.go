package quota

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// The messages of an exchange are encoded as arrays, with each integer in its shortest
// form, because they are most of the control traffic.

// EncodeMsgpack encodes the amount as an array of two integers.
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
		return fieldCountError("part", n, err)
	}
	rate, err := d.DecodeInt64()
	if err != nil {
		return err
	}
	burst, err := d.DecodeInt64()
	*p = Amount{Rate: Units(rate), Burst: Units(burst)}
	return err
}

const loanRequestFields = 5

// EncodeMsgpack encodes the request as an array.
func (a LoanRequest) EncodeMsgpack(e *msgpack.Encoder) error {
	return firstError(
		e.EncodeArrayLen(loanRequestFields),
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
	if err != nil || n != loanRequestFields {
		return fieldCountError("request", n, err)
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
		return fieldCountError("grant", n, err)
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

// encodeTokens encodes zero tokens, the most frequent case, as one byte.
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

// FieldCountError reports that an encoded message does not have the expected number of
// fields.
type FieldCountError struct {
	Message string
	Fields  int
}

// Error implements the error interface.
func (e *FieldCountError) Error() string {
	return fmt.Sprintf("quota %s has %d fields", e.Message, e.Fields)
}

func fieldCountError(message string, n int, err error) error {
	if err != nil {
		return err
	}
	return &FieldCountError{Message: message, Fields: n}
}
