//! Spread over many replicators.

use std::time::Duration;

use hemlockfield::fake::Weather;

use super::site::Site;
use super::site::ms;

/// A change is committed while one message in five is lost. All 44 entries have
/// it within seconds: pushes reach nearly all, digests mend the rest.
#[test]
fn spread_heavy_loss() {
    let weather = Weather { loss: 0.2, duplication: 0.0, delay_min: ms(1), delay_max: ms(30) };
    let mut site = Site::new(1, 44, weather);
    site.run(Duration::from_secs(30));
    for number in 2..12 {
        site.commit(number);
        site.run(Duration::from_secs(13));
        assert!(site.all_hold(number), "{number}");
    }
}
