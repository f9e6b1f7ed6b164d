package event

// Events by number: 1000 processes and settings, 1100 packet path, 1200
// membership, 1300 store and lists, 1400 control calls.
var (
	Started      = Definition{1000, Info, "started", "The process has opened its sockets."}
	Draining     = Definition{1001, Info, "draining", "A graceful shutdown or drain has begun."}
	Stopped      = Definition{1002, Info, "stopped", "The process is about to exit; the pair left counts flows that were still open."}
	BadSettings  = Definition{1003, Error, "settings rejected", "The settings file has findings; nothing was started. Mend the named fields."}
	SocketFailed = Definition{1004, Error, "socket failed", "A socket could not be opened or has failed; the process exits."}
)

// Catalogue lists every event that the programs log, in order of number.
var Catalogue = []Definition{
	Started, Draining, Stopped, BadSettings, SocketFailed,
}
