package config

import (
	"testing"

	"github.com/endivecourse/endivecourse/internal/pagetest"
)

func TestPageDocumentsEveryField(t *testing.T) {
	rows := pagetest.Rows(t, "../docs/CONFIG.md", "The operators' document")
	pagetest.RequireFields(t, rows, pagetest.Fields(Document{}))
}
