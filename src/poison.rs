//! Requests under which upstreams end.
//!
//! **Load pattern.** A request ends every upstream that runs it, by a fault that its path or body
//! triggers. It comes again and again, at any entry, often from a new caller each time, and each entry
//! sends it on, twice with a retry.
//!
//! **Without it.** Each arrival takes one or two upstreams away for seconds, with all that is in flight
//! there. A few such requests a second end a whole service.
//!
//! **How.** An entry that loses a request at an upstream, before or within its answer, looks whether the
//! upstream can still be connected to. If not, it reports the crash with the [`Identity`]s of the requests
//! that it had in flight there; the feed brings that to all entries. A kind of requests under which three
//! upstreams ended, and of which none has been answered since, is quarantined: refused by all entries for a
//! time that grows. Then one entry at a time may send one of them once.
//!
//! An identity has several widths, and the narrowest one that explains the crashes is quarantined: what is fatal
//! from one caller only is refused to that one, and what three callers' requests share to all.
//!
//! Whatever is in flight at a crash is suspected with the request that caused it. One whole answer
//! clears it, and there is time for that between the third crash and the quarantine. What is in
//! flight at some crashes of a request that has more is not quarantined for these.

mod checks;
mod evidence;
mod identity;
mod ledger;
mod list;
mod quarantine;
mod suspect;
mod trials;

pub use checks::Cause;
pub use checks::Checks;
pub use evidence::Crash;
pub use evidence::Evidence;
pub use evidence::Scope;
pub use identity::Fingerprint;
pub use identity::Identity;
pub use identity::Parts;
pub use identity::WIDTHS;
pub use ledger::Ledger;
pub use list::Decision;
pub use list::List;
pub use quarantine::Quarantine;
pub use quarantine::Report;
pub use trials::Trials;
