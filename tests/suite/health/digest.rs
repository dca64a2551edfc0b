use hemlockfield::health::Digest;
use hemlockfield::health::Item;

/// A node has 3 KB a second for all it tells others. Evidence on one upstream,
/// with names of usual length, must stay far below, and arrive as it was sent.
#[test]
fn digest_encoded() {
    let sums = [[-40, -75, -110, 300, 1_200]; 3];
    let item = Item { sums, upstream: "hull-register-17".into() };
    let digest = Digest { from: "entry-0442".into(), items: vec![item] };
    let bytes = postcard::to_stdvec(&digest).expect("encodes");
    assert!(bytes.len() <= 64, "{}", bytes.len());
    assert_eq!(postcard::from_bytes::<Digest>(&bytes).expect("decodes"), digest);
}
