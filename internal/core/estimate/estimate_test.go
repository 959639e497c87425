package estimate

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/balsamhitch/balsamhitch/internal/core/model"
)

var declared = model.Resources{MilliCPU: 10_000, MemoryMiB: 10_000, Accelerators: 2}

// Guards: the correction must cover the quantile of what tasks really used and
// exceed it by no more than a bucket.
func TestCorrectionAgreesWithSortedSamples(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(Policy{Floor: 0.001, Ceiling: 1000})
		peaks := rapid.SliceOfN(rapid.Int64Range(1, 100_000), 20, 200).Draw(t, "peaks")
		for _, peak := range peaks {
			e.Observe("t", Sample{Declared: declared, Peak: model.Resources{MemoryMiB: peak}})
		}
		slices.Sort(peaks)
		exact := peaks[(len(peaks)*99+99)/100-1]
		got := e.Size("t", declared).MemoryMiB
		require.GreaterOrEqual(t, got, exact)
		require.LessOrEqual(t, float64(got), float64(exact)*1.1+1)
	})
}

func TestCorrectionIsBounded(t *testing.T) {
	e := New(Policy{})
	for range 100 {
		e.Observe("tiny", Sample{Declared: declared, Peak: model.Resources{MilliCPU: 1, MemoryMiB: 1}})
		e.Observe("huge", Sample{Declared: declared, Peak: declared.Scale(100)})
	}
	assert.Equal(t, model.Resources{MilliCPU: 5_000, MemoryMiB: 5_000, Accelerators: 2}, e.Size("tiny", declared))
	assert.Equal(t, model.Resources{MilliCPU: 40_000, MemoryMiB: 40_000, Accelerators: 2}, e.Size("huge", declared))
	assert.Equal(t, declared, e.Size("unheard of", declared))
}

func TestFewSamplesChangeNothing(t *testing.T) {
	e := New(Policy{})
	for range defaultMinSamples - 1 {
		e.Observe("t", Sample{Declared: declared, Peak: declared.Scale(3), RunTime: time.Hour})
	}
	assert.Equal(t, declared, e.Size("t", declared))
	assert.Equal(t, time.Second, e.RunTime("t", time.Second))
}

func TestRunTimeIsLearnedWithoutDeclaration(t *testing.T) {
	e := New(Policy{})
	for range 50 {
		e.Observe("t", Sample{RunTime: 10 * time.Second})
		for range 5 {
			e.Observe("t", Sample{RunTime: time.Millisecond, EndedEarly: true})
		}
	}
	assert.InEpsilon(t, 10, e.RunTime("t", 0).Seconds(), 0.1)
}

func TestOldBehaviorFadesAndTemplatesAreBounded(t *testing.T) {
	e := New(Policy{MaxTemplates: 2})
	for range maxCount {
		e.Observe("t", Sample{Declared: declared, Peak: declared.Scale(3)})
	}
	for range 12 * maxCount {
		e.Observe("t", Sample{Declared: declared, Peak: declared})
	}
	assert.InEpsilon(t, declared.MemoryMiB, e.Size("t", declared).MemoryMiB, 0.1)
	for i := range 10 {
		e.Observe(fmt.Sprint(i), Sample{Declared: declared, Peak: declared})
		e.Observe("t", Sample{Declared: declared, Peak: declared})
	}
	assert.Len(t, e.templates, 2)
	assert.Contains(t, e.templates, "t", "the one in use must stay")
}
