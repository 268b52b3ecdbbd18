package routed

import "time"

// Faults selects the faults that the fake injects.
type Faults struct {
	Body            string        // appended to answers that are not streams
	CutAfter        int           // streams are cut within the event that follows this many complete ones; 0 is never
	CrashDelay      time.Duration // between a poison request's arrival and the crash
	Delay           time.Duration // before answers that are not streams
	CopyStatus      int           // status of the answers to copy orders, which then copy nothing; 0 for none
	SkipEvent       bool          // streams leave out their third event
	StopDelay       time.Duration // before an order for the last copy, which stops the run, is handled
	LoseCopyAnswers bool          // copies are made, but the answers are lost
	StallAfter      int           // streams send nothing after this many events; 0 is never
	WrongRequestID  bool          // answers name another request
	RefuseStatus    int           // requests are refused as not run with this status; 0 refuses none
	RepeatLastEvent bool          // a resumed run repeats the last event that the caller has received
	RetryAfter      time.Duration // back-off that refusals by RefuseStatus request; 0 for none
	Silent          bool          // no call is answered
	BadEventID      bool          // the ID of a stream's third event is not a number
	Status          int           // status of all answers, which are not streams then; 0 is off
	OmitStamp       bool          // answers lack the engine's stamp
}
