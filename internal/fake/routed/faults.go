package routed

import "time"

// Faults are the switches of the stand-in.
type Faults struct {
	Body            string        // of answers that are no streams
	CutAfter        int           // streams break off in the middle of an event after that many
	CrashDelay      time.Duration // from the start of a run that ends the engine until it does
	CopyStatus      int           // status of the next copies, 0 for none
	SkipEvent       bool          // streams leave out their third event
	StopDelay       time.Duration // after which an order to stop a run is looked at
	LoseCopyAnswers bool          // copies are made and their answers lost
	StallAfter      int           // streams go silent after that many events, 0 for never
	WrongRequestID  bool          // answers name another request
	RefuseStatus    int           // status of answers that say that nothing ran, 0 for none
	RepeatLastEvent bool          // a run that is taken up sends the last event of its caller again
	RetryAfter      time.Duration // that is asked for with answers that say that nothing ran, 0 for none
	Silent          bool          // nothing is answered
	BadEventID      bool          // streams have a third event whose id is no number
	Status          int           // of answers in place of 200, 0 for none
	OmitStamp       bool          // answers lack the engine's mark
}
