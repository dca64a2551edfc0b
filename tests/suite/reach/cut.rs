//! What callers of an entry that is cut off receive, and what they are told.

use std::thread;
use std::time::Duration;

use rstest::rstest;

use super::fleet::Fleet;
use super::network::Form;

/// Time after which an entry that lost its way to the upstreams serves callers all the same, and
/// callers are told of others.
const BOUND: Duration = Duration::from_secs(3);
const REQUESTS: usize = 30;

fn count_served(fleet: &Fleet, entry: usize, service: &str) -> usize {
    (0..REQUESTS).filter(|_| fleet.look(entry, service) == 200).count()
}

// Callers of an entry that has lost its way to the upstreams must not be refused for as long as
// that lasts, while all other entries serve.
#[rstest]
#[case::hang(&[0], Form::Hang, None)]
#[case::reset(&[0], Form::Reset, None)]
#[case::keep_open(&[0], Form::KeepOpen, None)]
#[case::one_way(&[0], Form::OneWay, None)]
#[case::one_service(&[0], Form::Hang, Some("hull"))]
#[case::domain(&[0, 1], Form::Hang, None)]
#[case::most(&[0, 1, 2], Form::Reset, None)]
fn serve_cut_entry(
    #[case] entries: &[usize],
    #[case] form: Form,
    #[case] service: Option<&'static str>,
) {
    let fleet = Fleet::start();
    let callers = fleet.callers();
    fleet.cut(entries, form, service);
    thread::sleep(BOUND);
    let listed: Vec<usize> = (0..4).filter(|entry| fleet.is_listed(*entry)).collect();
    let services = if service.is_some() { &["hull"][..] } else { &["hull", "cert"] };
    let count = |entry: &usize, service: &&str| count_served(&fleet, *entry, service);
    let served = entries.iter().flat_map(|entry| services.iter().map(move |it| count(entry, it)));
    let served: Vec<usize> = served.collect();
    let sound: Vec<usize> = (0..4).filter(|entry| !entries.contains(entry)).collect();
    let all = vec![REQUESTS; served.len()];
    assert_eq!((listed, served), (sound, all), "entries that callers are told of, and answers");
    drop(callers);
}
