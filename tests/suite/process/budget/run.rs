//! Plays a plan with real processes.

use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::callers::CALLERS;
use super::callers::Callers;
use super::payments;
use super::plan::Deployment;
use super::plan::Plan;
use super::plan::Trouble;
use super::upstream::Upstream;
use crate::process::fleet::wait_for;
use crate::process::judge;
use crate::process::judge::Window;
use crate::process::proxy::Proxy;
use crate::process::site::CONTROLS;
use crate::process::site::ORDERS;
use crate::process::site::Site;

const CONFIGURATION: &str = r#"{"version":"1","services":[{"name":"hull"},{"name":"certificate"}],"hosts":[{"host":"yard.example","paths":[
    {"name":"look","pathPrefix":"/","routeType":"safe","service":"hull","timeoutS":2,"maxAttempts":4},
    {"name":"sign","pathPrefix":"/sign/","routeType":"unsafe","service":"hull","timeoutS":2,"maxAttempts":4},
    {"name":"certify","pathPrefix":"/certificate/","routeType":"safe","service":"certificate","timeoutS":2,"maxAttempts":4},
    {"name":"file","pathPrefix":"/file/","routeType":"upload","timeoutS":2,"maxAttempts":4,
     "trafficSplit":[{"service":"hull","weight":80},{"service":"certificate","weight":20}]}]}]}"#;
const SERVICES: [&str; 2] = ["hull", "certificate"];
/// Upstreams of the first service, and those of both.
const UPSTREAMS: usize = 6;
const ALL_UPSTREAMS: usize = 8;
/// Interval at which upstreams announce themselves.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time in which what was paid for arrives.
const ARRIVAL: Duration = Duration::from_secs(3);
/// Busy threads per core of a machine that is too full.
const BUSY_PER_CORE: usize = 4;

/// Processes, and the paths to the upstreams.
struct Stage {
    entries: Vec<usize>,
    is_silent: Vec<Arc<AtomicBool>>,
    random: ChaCha8Rng,
    site: Site,
    upstreams: Vec<Upstream>,
}

/// Plays a plan; returns the window of a service that came nearest to the budget.
pub(super) fn play(plan: &Plan) -> Window {
    let Deployment { layout, slots, .. } = plan.deployment;
    let mut site = Site::new(layout);
    (0..CONTROLS).for_each(|at| site.run(at, true));
    let start = |at: usize| Upstream::start(&format!("i-{at}"), plan.failures);
    let upstreams: Vec<Upstream> = (0..ALL_UPSTREAMS).map(start).collect();
    let is_silent: Vec<Arc<AtomicBool>> = upstreams.iter().map(|_| Arc::default()).collect();
    let proxies = upstreams.iter().zip(&is_silent);
    let addresses: Vec<String> =
        proxies.map(|(upstream, it)| Proxy::start(&upstream.address, it).address).collect();
    let orders = |at: usize| format!("{}:{ORDERS}", site.ip(at));
    let directories = (0..CONTROLS + layout.entries).map(orders).collect();
    let domains = (0..layout.domains).map(|at| site.domain(at)).collect();
    let controls: Vec<String> = (0..CONTROLS).map(orders).collect();
    let callers = Callers::new(directories, domains, plan.is_mixed());
    let configure = |site: &Site| (0..CONTROLS).any(|at| site.submit_document(at, CONFIGURATION));
    if plan.configured_after.is_zero() {
        wait_for("a configuration", || configure(&site));
    }
    let random = ChaCha8Rng::seed_from_u64(plan.seed);
    let entries = (CONTROLS..CONTROLS + layout.entries).collect();
    let mut stage = Stage { entries, is_silent, random, site, upstreams };
    let pace = Duration::from_secs_f64(CALLERS as f64 / plan.rate);
    thread::scope(|scope| {
        let announced = stage.upstreams.clone();
        let is_over = &callers.is_over;
        scope.spawn(move || announce(&controls, &announced, &addresses, slots, is_over));
        scope.spawn(|| callers.refresh());
        for caller in 0..CALLERS as u64 {
            let callers = &callers;
            scope.spawn(move || callers.call(plan.seed * 1_000 + caller, pace));
        }
        for at in stage.entries.clone() {
            stage.site.run(at, true);
            thread::sleep(plan.gap);
        }
        thread::sleep(plan.configured_after);
        wait_for("a configuration", || configure(&stage.site));
        wait_for("a request", || !callers.sent.lock().unwrap().is_empty());
        thread::sleep(plan.start_up);
        plan.troubles.iter().for_each(|trouble| stage.disturb(*trouble));
        callers.is_over.store(true, Ordering::Release);
    });
    thread::sleep(ARRIVAL);
    let sent = callers.sent.into_inner().unwrap();
    let (hull, certificate) = stage.upstreams.split_at(UPSTREAMS);
    payments::check(&stage.site, &arrivals(&stage.upstreams));
    let windows = [hull, certificate].into_iter().enumerate().map(|(service, upstreams)| {
        let sent = sent.iter().filter(|(_, kind)| kind.leads_to(service));
        let sent: Vec<_> = sent.map(|(at, _)| *at).collect();
        plan.deployment.budget.worst(&sent, &judge::retries(&arrivals(upstreams)))
    });
    windows.max_by(|one, other| one.share().total_cmp(&other.share())).unwrap()
}

/// Arrivals at upstreams, in order of time.
fn arrivals(upstreams: &[Upstream]) -> Vec<(Instant, String)> {
    let arrivals = upstreams.iter().flat_map(|it| it.arrivals.lock().unwrap().clone());
    let mut arrivals: Vec<_> = arrivals.collect();
    arrivals.sort();
    arrivals
}

/// Announces all upstreams again and again.
fn announce(
    controls: &[String],
    upstreams: &[Upstream],
    addresses: &[String],
    slots: u32,
    is_over: &AtomicBool,
) {
    let mut sequence = 0;
    while !is_over.load(Ordering::Acquire) {
        sequence += 1;
        for (at, (upstream, address)) in upstreams.iter().zip(addresses).enumerate() {
            let service = SERVICES[usize::from(at >= UPSTREAMS)];
            let body = format!(
                r#"{{"address":"{address}","sequence":{sequence},"service":"{service}","slots":{slots},"state":"ready","zone":"north"}}"#
            );
            let line = format!("PUT /hemlockfield/instances/{}", upstream.id.lock().unwrap());
            controls.iter().any(|control| crate::stand_in::ask(control, &line, "", &body).0 == 200);
        }
        thread::sleep(HEARTBEAT);
    }
}

impl Stage {
    fn draw(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..to))
    }

    /// Acts on processes and paths, until a window has passed since.
    fn disturb(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::None | Trouble::StartsApart | Trouble::LateConfiguration => (),
            Trouble::CrashLoop { is_kept } => self.crash_loop(is_kept),
            Trouble::KilledInTurn { is_kept } => self.kill_in_turn(is_kept),
            Trouble::AllKilled { is_kept } => self.kill_all(is_kept),
            Trouble::Stopped => (0..3).for_each(|_| self.stop(500, 4_500)),
            Trouble::StoppedLong => (0..2).for_each(|_| self.stop(8_000, 14_000)),
            Trouble::UpstreamsStopped => self.stop_upstreams(),
            Trouble::SilentPaths => self.silence(),
            Trouble::ControlsGone => self.remove_controls(),
            Trouble::FullMachine => self.fill_machine(),
            Trouble::Rolled => self.roll(),
            Trouble::Reloaded => self.reload(),
            Trouble::Reborn => self.bear_again(),
            Trouble::StoppedInTurn => self.stop_in_turn(),
            Trouble::StoppedAmidKills => self.stop_amid_kills(),
            Trouble::Mixed => (),
        }
        let settle = self.draw(4_000, 11_000);
        thread::sleep(settle);
    }

    fn restart(&mut self, processes: &[usize], is_kept: bool) {
        processes.iter().for_each(|at| self.site.kill(*at));
        processes.iter().for_each(|at| self.site.run(*at, is_kept));
    }

    fn crash_loop(&mut self, is_kept: bool) {
        let (times, gap) = (self.random.random_range(10..22), self.draw(400, 900));
        for _ in 0..times {
            let entries = self.entries.clone();
            self.restart(&entries, is_kept);
            thread::sleep(gap);
        }
    }

    fn kill_in_turn(&mut self, is_kept: bool) {
        let gap = self.draw(50, 300);
        for at in self.entries.clone() {
            self.restart(&[at], is_kept);
            thread::sleep(gap);
        }
    }

    fn kill_all(&mut self, is_kept: bool) {
        for _ in 0..2 {
            let all: Vec<usize> = (0..CONTROLS + self.entries.len()).collect();
            self.restart(&all, is_kept);
            let pause = self.draw(1_500, 6_000);
            thread::sleep(pause);
        }
    }

    /// Stops half of the entries, and lets them go on.
    fn stop(&mut self, from: u64, to: u64) {
        let half: Vec<usize> = self
            .entries
            .choose_multiple(&mut self.random, self.entries.len() / 2)
            .copied()
            .collect();
        half.iter().for_each(|at| self.site.signal(*at, "STOP"));
        let span = self.draw(from, to);
        thread::sleep(span);
        half.iter().for_each(|at| self.site.signal(*at, "CONT"));
        let pause = self.draw(200, 1_500);
        thread::sleep(pause);
    }

    /// Tells each entry to leave, and starts it again when it has.
    fn roll(&mut self) {
        for at in self.entries.clone() {
            self.site.signal(at, "TERM");
            let child = self.site.children[at].as_mut().unwrap();
            wait_for("an entry to end", || child.try_wait().unwrap().is_some());
            self.site.run(at, true);
        }
    }

    fn reload(&mut self) {
        for _ in 0..self.random.random_range(5..15) {
            (0..CONTROLS + self.entries.len()).for_each(|at| self.site.signal(at, "HUP"));
            let pause = self.draw(200, 1_500);
            thread::sleep(pause);
        }
    }

    /// Gives each upstream another id at its address.
    fn bear_again(&mut self) {
        for round in 0..2 {
            for at in 0..ALL_UPSTREAMS {
                *self.upstreams[at].id.lock().unwrap() = format!("i-{at}-{round}");
                let pause = self.draw(100, 1_500);
                thread::sleep(pause);
            }
        }
    }

    fn set_stopped(&self, upstreams: Range<usize>, is_stopped: bool) {
        let each = self.upstreams[upstreams].iter();
        each.for_each(|it| it.is_stopped.store(is_stopped, Ordering::Release));
    }

    fn stop_in_turn(&mut self) {
        for at in 0..UPSTREAMS - 1 {
            self.set_stopped(at..at + 1, true);
            let span = self.draw(4_000, 11_000);
            thread::sleep(span);
        }
        self.set_stopped(0..UPSTREAMS, false);
        thread::sleep(Duration::from_secs(1));
    }

    fn stop_amid_kills(&mut self) {
        let count = self.random.random_range(2..UPSTREAMS);
        self.set_stopped(0..count, true);
        let span = self.draw(2_000, 8_000);
        thread::sleep(span);
        self.kill_in_turn(true);
        thread::sleep(span);
        self.set_stopped(0..count, false);
        thread::sleep(Duration::from_secs(1));
    }

    fn stop_upstreams(&mut self) {
        for _ in 0..2 {
            let count = self.random.random_range(1..=UPSTREAMS);
            let set = |upstreams: &[Upstream], is_stopped: bool| {
                let each = upstreams.iter().take(count);
                each.for_each(|it| it.is_stopped.store(is_stopped, Ordering::Release));
            };
            set(&self.upstreams, true);
            let span = self.draw(2_000, 13_000);
            thread::sleep(span);
            set(&self.upstreams, false);
            thread::sleep(Duration::from_secs(1));
        }
    }

    fn silence(&mut self) {
        for _ in 0..2 {
            let count = self.random.random_range(1..=UPSTREAMS);
            let set = |paths: &[Arc<AtomicBool>], is_silent: bool| {
                paths.iter().take(count).for_each(|it| it.store(is_silent, Ordering::Release));
            };
            set(&self.is_silent, true);
            let span = self.draw(2_000, 9_000);
            thread::sleep(span);
            set(&self.is_silent, false);
            thread::sleep(Duration::from_secs(1));
        }
    }

    /// Kills all controls, kills some entries while they are gone, and starts the controls again.
    fn remove_controls(&mut self) {
        (0..CONTROLS).for_each(|at| self.site.kill(at));
        let span = self.draw(4_000, 14_000);
        for _ in 0..3 {
            thread::sleep(span / 3);
            let count = self.random.random_range(0..=self.entries.len());
            let some: Vec<usize> =
                self.entries.choose_multiple(&mut self.random, count).copied().collect();
            self.restart(&some, true);
        }
        (0..CONTROLS).for_each(|at| self.site.run(at, true));
    }

    /// Keeps all cores busy.
    fn fill_machine(&mut self) {
        let span = self.draw(6_000, 14_000);
        let cores = thread::available_parallelism().unwrap().get();
        let is_over = AtomicBool::new(false);
        thread::scope(|scope| {
            for _ in 0..cores * BUSY_PER_CORE {
                scope.spawn(|| {
                    while !is_over.load(Ordering::Relaxed) {
                        std::hint::spin_loop();
                    }
                });
            }
            thread::sleep(span);
            is_over.store(true, Ordering::Relaxed);
        });
    }
}
