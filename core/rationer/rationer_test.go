package rationer

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"rosemaryspool.example/core/identifier"
)

func TestGrantsStayWithinTheLimit(t *testing.T) {
	const limit, size = 100 * identifier.BytesPerKiB, 3 * identifier.BytesPerKiB
	r := NewRationer(limit)
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for range 200 {
				g := r.NewGrant()
				for g.Grow(size) {
					if r.Used() > limit+50*size {
						t.Error("more is held than the limit and what is being refused")
					}
				}
				g.Release()
			}
		})
	}
	wg.Wait()
	require.Zero(t, r.Used())
}

func TestWhatIsReturnedIsGrantedAgain(t *testing.T) {
	r := NewRationer(10)
	a, b := r.NewGrant(), r.NewGrant()
	require.True(t, a.Grow(8))
	require.False(t, b.Grow(3))
	require.True(t, b.Grow(2))
	a.Shrink(3)
	require.True(t, b.Grow(3))
	a.Release()
	b.Release()
	require.Zero(t, r.Used())
	r.SetLimit(0)
	require.True(t, a.Grow(1000))
}
