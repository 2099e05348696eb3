// Package waiter waits for the goroutines of a component that is stopping.
package waiter

import "github.com/sourcegraph/conc"

// Finished returns a channel that is closed once every goroutine of the group has ended. Until then the caller must
// keep receiving from the channels to which they send, since they could block otherwise.
func Finished(group *conc.WaitGroup) <-chan struct{} {
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		group.Wait()
	}()
	return finished
}
