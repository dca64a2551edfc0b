use hemlockfield::health::Digest;
use hemlockfield::health::Input;
use hemlockfield::health::Item;
use hemlockfield::health::Output;

use super::scene::Scene;
use super::scene::name;
use super::scene::seconds;
use super::scene::setup;

/// A node has 3 KB a second for all it tells others. Evidence on one upstream,
/// with names of usual length, must stay far below, and arrive as it was sent.
#[test]
fn digest_encoded() {
    let sums = [[-40, -75, -110, 300, 1_200]; 3];
    let item = Item { asks: true, sums, upstream: "hull-register-17".into() };
    let digest = Digest { from: "entry-0442".into(), items: vec![item] };
    let bytes = postcard::to_stdvec(&digest).expect("encodes");
    assert!(bytes.len() <= 64, "{}", bytes.len());
    assert_eq!(postcard::from_bytes::<Digest>(&bytes).expect("decodes"), digest);
}

/// Two entries each saw one failure of an upstream that gets a request a minute
/// from each. Neither would suspect it for long; their words meet at its home
/// entry, which never used it, and which must ask all for what they saw.
#[test]
fn handle_told_at_home() {
    let mut home = Scene::new(1, 8, &setup(1.0), 1);
    let judge = &mut home.judges[0];
    let failure = (3.4 * Item::UNITS) as i16;
    let tell = |from: &str| {
        let item = Item { asks: false, sums: [[failure; 5]; 3], upstream: name(3) };
        Input::Digest(Digest { from: from.into(), items: vec![item] })
    };
    judge.handle(seconds(1), tell("e8"));
    assert_eq!(judge.handle(seconds(1), Input::Tick), []);
    judge.handle(seconds(1), tell("e9"));
    let outputs = judge.handle(seconds(1) + seconds(1) / 10, Input::Tick);
    let is_question =
        |output: &Output| matches!(output, Output::Share(digest) if digest.items[0].asks);
    assert!(outputs.iter().any(is_question), "{outputs:?}");
}
