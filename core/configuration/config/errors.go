package config

import "fmt"

// InvalidError reports an invalid field of a document.
type InvalidError struct {
	// Field is the path of the field, such as "workspaces[bole].share".
	Field string
	// Value is the value found; empty if it is missing or must not be shown.
	Value string
	// Want says what was expected.
	Want string
}

// Error returns the field, the value found and what was expected.
func (e *InvalidError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("invalid configuration: %s: want %s", e.Field, e.Want)
	}
	return fmt.Sprintf("invalid configuration: %s is %q: want %s", e.Field, e.Value, e.Want)
}

// NotFoundError reports a name that the configuration does not contain.
type NotFoundError struct {
	// Kind is "workspace", "target" and so on.
	Kind string
	Name string
}

// Error returns the kind and the name.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s %q not found", e.Kind, e.Name)
}

// TooLargeError reports an encoded configuration that exceeds the store's limit.
type TooLargeError struct {
	Bytes int
	Limit int
}

// Error returns the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("configuration takes %d bytes: the store holds %d", e.Bytes, e.Limit)
}
