package cowslipstack

// The pages come after the code that doc.go generates.
//
//go:generate sh -c "go run ./cmd/cowslipd --reference > docs/SETTINGS.md"
//go:generate sh -c "go run ./cmd/cowslip reference > docs/DOCUMENT.md"
