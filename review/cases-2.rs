/// Plays a case; whether the rule was broken, and why.
fn play(case: &str, is_troubled: bool) -> (bool, String) {
    match case {
        "departed" => departed(is_troubled),
        "unreached" => unreached(is_troubled),
        "revoked" => revoked(is_troubled),
        "leak" => leak(is_troubled),
        "heavy" => heavy(is_troubled),
        other => finish(2, &format!("no case `{other}`")),
    }
}

/// A server that has said that it is gone gets requests again, as two of its pings arrive late.
fn departed(is_troubled: bool) -> (bool, String) {
    let site = Site::start(3, 4);
    let controls = site.control_addresses();
    site.configure(&document(1, &["hull"], &[route("sign", "unsafe", 2.5, "hull")]));
    let runs = Runs::default();
    let stays = Target::start(&site, "i-stays", "hull", 4, &runs, fixed(0.15));
    let leaves = Target::start(&site, "i-leaves", "hull", 4, &runs, fixed(0.15));
    let is_slow = Arc::new(AtomicBool::new(false));
    let slow = slow_path(&site.net, &controls[0], 4.0, Arc::clone(&is_slow));
    if !(stays.announce_any(&controls, "ready") && leaves.announce_any(&controls, "ready")) {
        finish(2, "the targets could not announce themselves");
    }
    stays.keep_announcing(controls.clone());
    site.wait_ready();
    sleep(TOUCH_S + 1.0);
    // The path between the leaving server and one control is slow from here on.
    is_slow.store(is_troubled, Ordering::Release);
    note!(
        "the path of i-leaves to {} is {}",
        controls[0],
        if is_troubled { "slow" } else { "quick" }
    );
    // Two pings: the first node gives no answer within a second, the next one is called.
    let nodes = [slow, controls[1].clone(), controls[2].clone()];
    for _ in 0..2 {
        let next = Instant::now() + Duration::from_millis(1500);
        leaves.announce_any(&nodes, "ready");
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    if !leaves.leave(&controls[1..]) {
        finish(2, "the DELETE was not acknowledged");
    }
    let gone = at();
    note!("i-leaves is gone by the acknowledgement at {gone:.3}");
    // Callers come once every entry has heard of it.
    sleep(1.0);
    let fronts: Vec<String> = (0..4).map(|entry| site.front(entry)).collect();
    let clients = Clients::start(&fronts, 3, "sign", "POST", 2.5, 0.05);
    // It serves for `drainS` and some seconds more, then exits.
    sleep(DRAIN_S + 5.0);
    leaves.end();
    sleep(1.0);
    let seen = clients.stop();
    let runs = runs.lock().unwrap().clone();
    let late: Vec<&Run> = runs
        .iter()
        .filter(|run| run.target == "i-leaves" && run.arrived > gone + DRAIN_S)
        .collect();
    let is_lost = |seen: &&Seen| !matches!(seen.status, Some(200 | 503));
    let lost = seen.iter().filter(is_lost).count();
    let total = seen.len();
    let first = late.first().map_or(0.0, |run| run.arrived - gone);
    let why = format!(
        "DRAIN: {} requests reached i-leaves over {DRAIN_S} s after its departure was acknowledged, the first \
         one {first:.2} s after it; of {total} requests, {lost} were lost",
        late.len()
    );
    (!late.is_empty(), why)
}

/// The last API key is taken away, and from then on every key is accepted.
fn revoked(is_troubled: bool) -> (bool, String) {
    let site = Site::start_with(3, 2, true);
    let controls = site.control_addresses();
    let with_keys = |version: u32, keys: &str| {
        let text = document(version, &["hull"], &[route("sign", "unsafe", 2.5, "hull")]);
        let tenants = format!(r#""tenants":[{{"name":"yard-1","apiKeys":[{keys}]}}],"services""#);
        text.replacen("\"services\"", &tenants, 1)
    };
    site.configure(&with_keys(1, "\"key-of-yard-1\""));
    let runs = Runs::default();
    let target = Target::start(&site, "i-1", "hull", 4, &runs, fixed(0.05));
    target.announce_any(&controls, "ready");
    target.keep_announcing(controls.clone());
    site.wait_ready();
    sleep(TOUCH_S + 1.0);
    let send = |phase: &str, key: &str, entry: usize, number: usize| {
        let id = format!("{phase}-{key}-{entry}-{number}");
        let first = format!("POST /sign/{number}\u{0}{key}");
        request(&mut None, &site.front(entry), &first, &id, 2.0, b"")
    };
    let mut before = Vec::new();
    for entry in 0..2 {
        before.push(send("before", "key-of-yard-1", entry, 0).status);
        before.push(send("before", "key-of-nobody", entry, 0).status);
    }
    if before != [Some(200), Some(401), Some(200), Some(401)] {
        finish(2, &format!("the keys don't work from the start: {before:?}"));
    }
    // The leaked key is taken away; it was the only one. Without the disruption it stays.
    site.configure(&with_keys(2, if is_troubled { "" } else { "\"key-of-yard-1\"" }));
    sleep(CONFIG_APPLY_S + 2.0);
    for entry in 0..2 {
        for number in 1..=5 {
            send("after", "key-of-nobody", entry, number);
            send("after", "key-of-yard-1", entry, number);
        }
    }
    let runs = runs.lock().unwrap();
    let count = |name: &str| runs.iter().filter(|run| run.id.starts_with(name)).count();
    let unknown = count("before-key-of-nobody") + count("after-key-of-nobody");
    let dropped = if is_troubled { count("after-key-of-yard-1") } else { 0 };
    let why = format!(
        "ROUTE: {unknown} of 12 requests ran whose key no configuration ever held; CONFIG: {dropped} requests \
         ran with a dropped key, over {CONFIG_APPLY_S} s after its removal was acknowledged"
    );
    (unknown > 0 || dropped > 0, why)
}

/// Bounds and dose of the site `dwk-gateway-fleet`.
const FLEET_TOUCH_S: f64 = 5.0;
const FLEET_DRAIN_S: f64 = 3.0;
/// Servers that a release replaces at a time, a second apart, and how often: 4,272 of the site's 10,001
/// servers, a share of 0.43.
const RELEASED: usize = 89;
const RELEASES: usize = 48;

/// A release of servers after which a process takes no new connection any more.
fn leak(is_troubled: bool) -> (bool, String) {
    let site = Site::start(3, 1);
    let controls = site.control_addresses();
    site.configure(&document(1, &["hull"], &[route("sign", "unsafe", 2.5, "hull")]));
    let runs = Runs::default();
    let mut number = 0;
    let mut start = |count: usize| -> Vec<Target> {
        let new = (0..count).map(|_| {
            number += 1;
            Target::start(&site, &format!("i-{number}"), "hull", 4, &runs, fixed(0.1))
        });
        let new: Vec<Target> = new.collect();
        each(&new, |target| {
            target.announce_any(&controls, "ready");
        });
        new
    };
    let mut live = start(2 * RELEASED);
    site.wait_ready();
    // The infrastructure asks once a second whether the entry is ready, on a connection that it keeps.
    let ready: Arc<Mutex<Vec<(f64, u16)>>> = Arc::default();
    let (address, answers) = (site.ready(0), Arc::clone(&ready));
    thread::spawn(move || {
        let mut kept = None;
        loop {
            let status = ask_readiness(&mut kept, &address);
            answers.lock().unwrap().push((at(), status));
            sleep(1.0);
        }
    });
    let clients = Clients::start(&[site.front(0)], 150, "sign", "POST", 2.5, 0.002);
    sleep(FLEET_TOUCH_S);
    let mut draining: Vec<(Instant, Vec<Target>)> = Vec::new();
    for _ in 0..RELEASES {
        let step = Instant::now();
        if is_troubled {
            live.extend(start(RELEASED));
            let old: Vec<Target> = live.drain(..RELEASED).collect();
            each(&old, |target| {
                target.is_leaving.store(true, Ordering::Release);
                target.announce_any(&controls, "draining");
            });
            draining.push((Instant::now(), old));
            note!("platform: {RELEASED} servers replaced, {} by now", number_of(&draining));
        }
        let is_due = |(at, _): &(Instant, _)| at.elapsed().as_secs_f64() > FLEET_DRAIN_S + 0.5;
        while draining.first().is_some_and(is_due) {
            each(&draining.remove(0).1, |target| {
                target.leave(&controls);
                target.end();
            });
        }
        thread::sleep(Duration::from_secs(1).saturating_sub(step.elapsed()));
    }
    note!("the release is over");
    sleep(FLEET_TOUCH_S + 1.0);
    let line = format!("GET /hemlockfield/resolve?name={HOST}&region=regensburg&zone=halle-nord");
    let directory = format!("{}:{}", site.ip(0), site.port + 3);
    let listed = call(&directory, &line, "", "", Duration::from_secs(1));
    let listed = listed.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    note!("platform: a consumer that asks a control gets {listed:?}; the entry is {}", site.front(0));
    // New consumers: each allows a second, and then tries again on another connection.
    let (begin, until) = (at(), at() + 4.0 * FLEET_TOUCH_S);
    let taken: Arc<Mutex<Vec<f64>>> = Arc::default();
    let tries: Vec<_> = (0..10)
        .map(|consumer| {
            let (front, taken) = (site.front(0), Arc::clone(&taken));
            thread::spawn(move || {
                let mut count = 0;
                while at() < until {
                    count += 1;
                    let id = format!("new-{consumer}-{count}");
                    let path = format!("POST /sign/{id}");
                    let one = request(&mut None, &front, &path, &id, 1.0, b"");
                    if one.status.is_some() {
                        taken.lock().unwrap().push(at());
                    }
                    sleep(0.05);
                }
                count
            })
        })
        .collect();
    let count: usize = tries.into_iter().map(|it| it.join().unwrap()).sum();
    let mut taken = taken.lock().unwrap().clone();
    let served = taken.len();
    taken.extend([begin, until]);
    taken.sort_by(f64::total_cmp);
    let longest = taken.windows(2).map(|pair| pair[1] - pair[0]).fold(0.0, f64::max);
    let seen = clients.stop();
    let late: Vec<&Seen> = seen.iter().filter(|seen| seen.sent > begin).collect();
    let good = late.iter().filter(|seen| seen.status == Some(200)).count();
    let ready = ready.lock().unwrap();
    let asked: Vec<u16> = ready.iter().filter(|(at, _)| *at > begin).map(|(_, status)| *status).collect();
    let is_ready = !asked.is_empty() && asked.iter().all(|status| *status == 200);
    let why = format!(
        "RECOVER: in {:.0} s, 10 new consumers opened {count} connections to an entry and got an answer on {served}, on none for \
         up to {longest:.1} s; its readiness, asked {} times meanwhile, was 200 {}; of {} requests on kept connections \
         {good} were served",
        until - begin,
        asked.len(),
        if is_ready { "each time" } else { "not each time" },
        late.len()
    );
    (longest >= FLEET_TOUCH_S && is_ready, why)
}

fn number_of(draining: &[(Instant, Vec<Target>)]) -> usize {
    draining.iter().map(|(_, targets)| targets.len()).sum()
}

/// Status of the readiness of an entry, asked on a kept connection; 0 without an answer within a second.
fn ask_readiness(kept: &mut Option<Wire>, address: &str) -> u16 {
    let asked = (|| -> io::Result<u16> {
        if kept.is_none() {
            *kept = Some(Wire::new(connect(address, Duration::from_secs(1))?));
        }
        let wire = kept.as_mut().unwrap();
        wire.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        wire.stream.write_all(b"GET /hemlockfield/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")?;
        let mut answer = wire.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        wire.read_body(&mut answer)?;
        Ok(answer.status())
    })();
    if asked.is_err() {
        *kept = None;
    }
    let status = asked.unwrap_or(0);
    note!("platform: readiness {status}");
    status
}

/// Does the same with each target, some at a time.
fn each(targets: &[Target], what: impl Fn(&Target) + Sync) {
    thread::scope(|scope| {
        for part in targets.chunks(targets.len().div_ceil(16).max(1)) {
            let what = &what;
            scope.spawn(move || part.iter().for_each(what));
        }
    });
}

/// Memory of a machine of the core, in bytes: `memory_mb` of the site.
const CORE_MEMORY: u64 = 256 << 20;
/// Routes that the users expect within two years, and changes of the configuration: a quarter of a day's.
const ROUTES: usize = 4_200;
const CHANGES: u32 = 280;
/// Pause between two changes: the shortest of the site's storms.
const CHANGE_GAP: Duration = Duration::from_millis(60);

/// The controls are killed together after some hundred changes of a large configuration, and never come back.
fn heavy(is_troubled: bool) -> (bool, String) {
    let site = Site::start(3, 1);
    let controls = site.control_addresses();
    // Each version changes the timeout of all routes.
    let text = |version: u32| {
        let timeout = 2.0 + f64::from(version % 2) / 10.0;
        let routes = (0..ROUTES).map(|at| route(&format!("p{at}"), "unsafe", timeout, "hull"));
        document(version, &["hull"], &routes.collect::<Vec<_>>())
    };
    site.configure(&text(1));
    note!("operator: a configuration has {} bytes", text(1).len());
    let platform = Platform::start(site);
    let mut acknowledged = 1;
    for version in 2..=CHANGES {
        let next = Instant::now() + CHANGE_GAP;
        let body = text(version);
        let is_sent = |to: &String| {
            let sent = call(to, "PUT /hemlockfield/config", "", &body, Duration::from_secs(1));
            sent.is_ok_and(|answer| answer.status() == 200)
        };
        // A call without a clear response is sent again, to any node.
        let mut nodes = controls.iter().cycle().skip(version as usize).take(9);
        if nodes.any(is_sent) {
            acknowledged = version;
        }
        if version % 50 == 0 {
            note!("operator: version {version} sent, {acknowledged} acknowledged");
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    sleep(TOUCH_S + 1.0);
    let before = platform.ends();
    note!("operator: {acknowledged} is the newest version that was acknowledged");
    if before > 0 {
        finish(2, "a control used more than its memory before the disruption");
    }
    if is_troubled {
        platform.kill_controls();
    }
    // The operator asks for the configuration again and again, at every node.
    let until = at() + 25.0;
    let mut newest = 0;
    while at() < until {
        for control in &controls {
            let answer = call(control, "GET /hemlockfield/config", "", "", Duration::from_secs(1));
            let status = answer.as_ref().map_or(0, Message::status);
            if let Some(body) = answer.ok().filter(|_| status == 200).map(|answer| answer.body) {
                let text = String::from_utf8_lossy(&body).into_owned();
                let version = text.get(12..20).and_then(|text| u32::from_str_radix(text, 16).ok());
                newest = newest.max(version.unwrap_or(0));
            }
            note!("operator: read at {control}: {status}, newest {newest}");
        }
        sleep(0.5);
    }
    let ends = platform.ends();
    let why = format!(
        "CONFIG: version {acknowledged} was acknowledged, and read back for 25 s at all controls came {newest}; \
         processes of the three controls used more than 256 MB {ends} times after they were killed together"
    );
    (newest < acknowledged, why)
}

/// The platform's part for processes: it ends those that use more than their memory, and starts again what
/// has ended.
struct Platform {
    ends: Arc<AtomicU64>,
    site: Arc<Mutex<Site>>,
}

impl Platform {
    fn start(site: Site) -> Self {
        let platform = Self { ends: Arc::default(), site: Arc::new(Mutex::new(site)) };
        let (ends, site) = (Arc::clone(&platform.ends), Arc::clone(&platform.site));
        thread::spawn(move || {
            let mut back = [None; 3];
            let mut shown = Instant::now();
            loop {
                sleep(0.03);
                let mut site = site.lock().unwrap();
                let mut sizes = [0; 3];
                for index in 0..3 {
                    sizes[index] = watch(&mut site, index, &mut back[index], &ends) >> 20;
                }
                if shown.elapsed() > Duration::from_secs(2) {
                    shown = Instant::now();
                    note!("platform: the controls use {sizes:?} MB");
                }
            }
        });
        platform
    }

    /// How often a process used more than its memory, or ended by itself.
    fn ends(&self) -> u64 {
        self.ends.load(Ordering::Acquire)
    }

    fn kill_controls(&self) {
        let site = self.site.lock().unwrap();
        (0..3).for_each(|index| site.signal(index, SIGKILL));
    }
}

/// Looks at one process; returns the bytes that it uses.
fn watch(site: &mut Site, index: usize, back: &mut Option<Instant>, ends: &AtomicU64) -> u64 {
    if back.is_some_and(|at| at <= Instant::now()) {
        *back = None;
        site.run(index, false);
    }
    let Some(child) = &mut site.processes[index] else { return 0 };
    let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    let used = kilobytes.unwrap_or(0) << 10;
    let ended = child.try_wait().ok().flatten();
    if used <= CORE_MEMORY && ended.is_none() {
        return used;
    }
    if used > CORE_MEMORY {
        ends.fetch_add(1, Ordering::AcqRel);
        note!("platform: control {index} uses {} MB and is killed", used >> 20);
    }
    child.kill().ok();
    child.wait().ok();
    let ended = child.id();
    PIDS.lock().unwrap().retain(|pid| *pid != ended);
    site.processes[index] = None;
    *back = Some(Instant::now() + Duration::from_millis(500));
    used
}

/// The only server of a service is lost for good, and another one takes its place at another address.
fn unreached(is_troubled: bool) -> (bool, String) {
    let site = Site::start(3, 2);
    let controls = site.control_addresses();
    let first = route("sign", "unsafe", 2.5, "hull");
    site.configure(&document(1, &["hull", "cert"], &[first.clone()]));
    let runs = Runs::default();
    let start = |id: &str, service: &str, zone: usize| {
        let mut target = Target::start(&site, id, service, 4, &runs, fixed(0.05));
        target.zone = ZONES[zone].to_owned();
        if !target.announce_any(&controls, "ready") {
            finish(2, "a server could not announce itself");
        }
        target.keep_announcing(controls.clone());
        target
    };
    let _hull = [start("i-hull-1", "hull", 0), start("i-hull-2", "hull", 1)];
    let one = start("i-cert-1", "cert", 0);
    site.wait_ready();
    site.configure(&document(2, &["hull", "cert"], &[first, route("cert", "unsafe", 2.5, "cert")]));
    sleep(CONFIG_APPLY_S + 1.0);
    let fronts = [site.front(0), site.front(1)];
    let older = Clients::start(&fronts, 2, "sign", "POST", 2.5, 0.2);
    let later = Clients::start(&fronts, 2, "cert", "POST", 2.5, 0.2);
    sleep(4.0);
    let back = if is_troubled {
        // It sends nothing any more. Another one is started for it.
        one.is_leaving.store(true, Ordering::Release);
        one.end();
        sleep(3.0);
        let mut new = Target::start_at(&format!("{}.202:0", site.net), "i-cert-2", "cert", 4, &runs, fixed(0.05));
        new.zone = ZONES[0].to_owned();
        if !new.announce_any(&controls, "ready") {
            finish(2, "the server could not announce itself");
        }
        new.keep_announcing(controls.clone());
        new
    } else {
        one
    };
    note!("{} is there", back.id);
    sleep(8.0);
    let begin = at();
    sleep(30.0);
    let count = |clients: Clients| {
        let seen = clients.stop();
        let asked: Vec<&Seen> = seen.iter().filter(|seen| seen.sent > begin).collect();
        let served = asked.iter().filter(|seen| seen.status == Some(200)).count();
        (served, asked.len())
    };
    let ((older, older_asked), (later, later_asked)) = (count(older), count(later));
    let why = format!(
        "CONFIG: in 30 s of calm, from 8 s after the server was back, {later} of {later_asked} requests on the route that was \
         added later were served, and {older} of {older_asked} on the first route"
    );
    let share = |served: usize, asked: usize| served as f64 / asked.max(1) as f64;
    (later_asked >= 20 && share(later, later_asked) < share(older, older_asked) / 4.0, why)
}
