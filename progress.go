package samphireturn

import "context"

// progressKey is the key of the function that WithProgress adds to a context.
type progressKey struct{}

// WithProgress returns a context with which Source.List calls f after each part of the
// list that it has read. f must not block.
func WithProgress(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, progressKey{}, f)
}

// ReportProgress calls the function that WithProgress added to ctx, if any.
func ReportProgress(ctx context.Context) {
	if f, ok := ctx.Value(progressKey{}).(func()); ok {
		f()
	}
}
