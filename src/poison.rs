//! Requests under which upstreams end.
//!
//! **Load pattern.** A request ends every upstream that runs it, by a fault that its path or body
//! triggers. It comes again and again, at any entry, and each entry sends it on, twice with a retry.
//!
//! **Without it.** Each arrival takes one or two upstreams away for seconds, with all that is in flight
//! there. A few such requests a second end a whole service.
//!
//! **How.** An entry whose connection ends before any byte of an answer looks whether the upstream can
//! still be connected to. If not, it reports the crash with the [`Fingerprint`]s of the requests that
//! it had in flight there; the feed brings that to all entries. A request under which three upstreams
//! ended, and that none has answered since, is quarantined: refused by all entries for a time that
//! grows. Then one entry at a time may send it once.
//!
//! Whatever is in flight at a crash is suspected with the request that caused it. One whole answer
//! clears it, and there is time for that between the third crash and the quarantine. What is in
//! flight at some crashes of a request that has more is not quarantined for these.

mod checks;
mod evidence;
mod fingerprint;
mod ledger;
mod list;
mod quarantine;
mod trials;

pub use checks::Checks;
pub use evidence::Crash;
pub use evidence::Evidence;
pub use fingerprint::Fingerprint;
pub use ledger::Ledger;
pub use list::Decision;
pub use list::List;
pub use quarantine::Quarantine;
pub use quarantine::Report;
pub use trials::Trials;
