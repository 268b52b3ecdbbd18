package policy

// Tuning holds the parameters of an Owner's decisions, so that simulations can vary them.
type Tuning struct {
	CostReserve       float64 // maximum share of KV memory kept free of costly work
	NewestFirstCost   float64 // seconds of cost above which the newest work goes first
	ReserveHalfCost   float64 // seconds of cost at which half of CostReserve is kept free
	MaxUsedShare      float64 // share of KV memory in use above which nothing starts
	TargetStepSeconds float64 // target time between tokens
	ZMax              float64 // maximum number of standard deviations of the forecast kept free
	ZMin              float64 // minimum, and the initial value
	ZPreemption       float64 // added for each preemption
	ZDecayPerSecond   float64 // share of the distance to ZMin that is lost each second
}

// DefaultTuning returns the values that boxes use.
func DefaultTuning() Tuning {
	return Tuning{
		CostReserve: 0.2, NewestFirstCost: 1, ReserveHalfCost: 2, MaxUsedShare: 0.98, TargetStepSeconds: 0.04,
		ZMax: 4, ZMin: 0.4, ZPreemption: 0.1, ZDecayPerSecond: 0.02,
	}
}
