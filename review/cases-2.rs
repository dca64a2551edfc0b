/// Plays a case; whether the rule was broken, and why.
fn play(case: &str, is_troubled: bool) -> (bool, String) {
    match case {
        "departed" => departed(is_troubled),
        "silent" => silent(is_troubled),
        "abandoned" => abandoned(is_troubled),
        "revoked" => revoked(is_troubled),
        other => finish(2, &format!("no case `{other}`")),
    }
}

/// A server that has said that it is gone gets requests again, as two of its pings arrive late.
fn departed(is_troubled: bool) -> (bool, String) {
    let site = Site::start(3, 2);
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
    let fronts = [site.front(0), site.front(1)];
    let clients = Clients::start(&fronts, 3, "sign", "POST", 2.5, 0.05);
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
    // It serves for `drainS` and some seconds more, then exits.
    sleep(DRAIN_S + 6.0);
    leaves.end();
    sleep(1.0);
    let seen = clients.stop();
    let runs = runs.lock().unwrap().clone();
    let late: Vec<&Run> = runs
        .iter()
        .filter(|run| run.target == "i-leaves" && run.arrived > gone + DRAIN_S)
        .collect();
    let lost = seen.iter().filter(|seen| seen.status != Some(200) && seen.sent > gone).count();
    let total = seen.len();
    let first = late.first().map_or(0.0, |run| run.arrived - gone);
    let why = format!(
        "DRAIN: {} requests reached i-leaves over {DRAIN_S} s after its departure was acknowledged, the first \
         one {first:.2} s after it; of {total} requests, {lost} sent after it had no 200",
        late.len()
    );
    (!late.is_empty(), why)
}

/// A process that gets SIGTERM gives up requests at which their server is at work, and answers itself.
fn silent(is_troubled: bool) -> (bool, String) {
    let site = Site::start(3, 2);
    let controls = site.control_addresses();
    site.configure(&document(1, &["hull"], &[route("sign", "unsafe", 30.0, "hull")]));
    let runs = Runs::default();
    let work = |request: &Message| if request.path().contains("long") { 10.5 } else { 0.1 };
    let target = Target::start(&site, "i-1", "hull", 4, &runs, Arc::new(work));
    target.announce_any(&controls, "ready");
    target.keep_announcing(controls.clone());
    site.wait_ready();
    sleep(TOUCH_S + 1.0);
    let senders: Vec<_> = (0..3)
        .map(|number| {
            let front = site.front(0);
            let (first, id) = (format!("POST /sign/long-{number}"), format!("long-{number}"));
            thread::spawn(move || request(&mut None, &front, &first, &id, 30.0, b""))
        })
        .collect();
    sleep(6.0);
    let term = at();
    if is_troubled {
        site.signal(site.controls, SIGTERM);
    }
    let seen: Vec<Seen> = senders.into_iter().map(|sender| sender.join().unwrap()).collect();
    sleep(0.5);
    let runs = runs.lock().unwrap();
    // What counts is given up after the SIGTERM and before the last sixth of `graceS`, in which the server
    // would have been done, too.
    let is_lost = |seen: &&Seen| {
        let run = runs.iter().find(|run| run.id == seen.id);
        let was_at_work = run.is_some_and(|run| {
            run.ended.is_none_or(|(at, is_whole)| !is_whole && at >= seen.ended - 0.5)
        });
        let since = seen.ended - term;
        let is_own = seen.status != Some(200);
        is_own && was_at_work && since > 0.0 && since < GRACE_S * 5.0 / 6.0
    };
    let lost: Vec<&Seen> = seen.iter().filter(is_lost).collect();
    let statuses: Vec<Option<u16>> = seen.iter().map(|seen| seen.status).collect();
    let since = lost.first().map_or(0.0, |seen| seen.ended - term);
    let counts = if is_troubled { lost.len() } else { 0 };
    let why = format!(
        "LOST: {counts} of 3 requests were broken off {since:.2} s after the SIGTERM while their target was at work; \
         the clients got {statuses:?}; their deadline and the route's timeout were 30 s"
    );
    (counts > 0, why)
}

/// Uploads whose clients have left wait in a process and are sent to a server all the same.
fn abandoned(is_troubled: bool) -> (bool, String) {
    let site = Site::start(3, 1);
    let controls = site.control_addresses();
    site.configure(&document(1, &["cert"], &[route("file", "upload", 2.5, "cert")]));
    let runs = Runs::default();
    let target = Target::start(&site, "i-1", "cert", 4, &runs, fixed(0.9));
    target.announce_any(&controls, "ready");
    target.keep_announcing(controls.clone());
    site.wait_ready();
    sleep(TOUCH_S + 1.0);
    let left: Arc<Mutex<BTreeMap<String, f64>>> = Arc::default();
    let mut threads = Vec::new();
    for round in 0..6 {
        for client in 0..12 {
            let (front, left) = (site.front(0), Arc::clone(&left));
            let id = format!("file-{round}-{client}");
            threads.push(thread::spawn(move || {
                upload(&front, &id, is_troubled.then_some(0.15), &left)
            }));
            sleep(0.01);
        }
        sleep(2.5);
    }
    threads.into_iter().for_each(|thread| thread.join().unwrap());
    let left = left.lock().unwrap();
    let runs = runs.lock().unwrap();
    let late: Vec<f64> = runs
        .iter()
        .filter_map(|run| Some(run.arrived - left.get(&run.id)?))
        .filter(|since| *since > 0.5)
        .collect();
    let longest = late.iter().copied().fold(0.0, f64::max);
    let why = format!(
        "GONE: {} uploads reached the target over 0.5 s (up to {longest:.2} s) after their client had closed its \
         connection, all of them whole; {} of {} clients left",
        late.len(),
        left.len(),
        6 * 12
    );
    (late.len() > 3, why)
}

/// Bytes of one chunk of an upload, and number of chunks: 560 KiB.
const CHUNK: usize = 16 * 1024;
const CHUNKS: usize = 35;

/// Sends an upload in chunks, and leaves some time after the last byte or reads the answer.
fn upload(front: &str, id: &str, leaves_after: Option<f64>, left: &Mutex<BTreeMap<String, f64>>) {
    let stream = connect(front, Duration::from_secs(1)).unwrap();
    stream.set_nodelay(true).ok();
    let head = format!(
        "POST /file/{id} HTTP/1.1\r\nHost: {HOST}\r\nHemlockfield-Request-Id: {id}\r\n\
         Hemlockfield-Deadline-Ms: 2500\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    for _ in 0..CHUNKS {
        bytes.extend_from_slice(format!("{CHUNK:x}\r\n").as_bytes());
        bytes.extend(std::iter::repeat_n(b'x', CHUNK));
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    if (&stream).write_all(&bytes).is_err() {
        return note!("client: {id} could not be sent");
    }
    let sent = at();
    let Some(span) = leaves_after else {
        let mut wire = Wire::new(stream);
        wire.stream.set_read_timeout(Some(Duration::from_millis(2500))).ok();
        let head = wire.read_head().ok().flatten();
        return note!("client: {id} sent at {sent:.3}: {:?}", head.map(|head| head.first));
    };
    sleep(span);
    drop(stream);
    left.lock().unwrap().insert(id.to_owned(), at());
    note!("client: {id} sent at {sent:.3}, left");
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
