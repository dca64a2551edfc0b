//! Controls that start with settings of a fleet's first start once more.

use std::fs;
use std::thread;
use std::time::Duration;

use super::fleet::wait_for;
use super::site::Site;

/// Time in which controls elect a leader.
const ELECTION: Duration = Duration::from_secs(6);

// A control lost its disk, and its settings still say that the fleet starts for the first time. It votes
// as a founder with an empty log, and an acknowledged configuration is gone.
#[test]
fn read_acknowledged_after_lost_disk() {
    let mut site = Site::start(&[0, 1, 2]);
    wait_for("a configuration", || site.submit(0, 1));
    wait_for("the configuration at the third", || holds(&site, 2, "1"));
    site.kill(2);
    wait_for("a newer one", || (0..2).any(|at| site.submit(at, 2)));
    site.kill(0);
    site.kill(1);
    fs::remove_dir_all(site.data(1)).unwrap();
    site.run(1, true);
    site.run(2, true);
    thread::sleep(ELECTION);
    assert!(!holds(&site, 1, "1") && !holds(&site, 2, "1"), "an older configuration is read back");
}

/// Whether a control answers a read of the configuration with this version.
fn holds(site: &Site, at: usize, version: &str) -> bool {
    let (status, body) = site.order(at, "GET /hemlockfield/config", "");
    status == 200 && body.contains(&format!(r#""version":"{version}""#))
}
