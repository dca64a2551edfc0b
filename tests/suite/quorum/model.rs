//! Groups of 3, 5 and 7 under accidents: safe at every step, live afterwards.

use std::time::Duration;

use hemlockfield::fake::Weather;
use hemlockfield::id::NodeId;
use rand::Rng;
use rand::seq::IndexedRandom;
use rstest::rstest;

use super::checker::Verdict;
use super::checker::ensure;
use super::mutant::Mutant;
use super::world::LATE;
use super::world::World;

/// Virtual time under accidents, and the longest time to be whole after them.
const CHAOS: Duration = Duration::from_secs(15);
const RECOVERY: Duration = Duration::from_secs(30);
const RESEND: Duration = Duration::from_millis(500);

/// One run: accidents, then fair weather, then every replica must be whole.
pub(super) fn chaos(seed: u64, size: usize, mutant: Option<Mutant>) -> Verdict {
    chaos_in(&mut World::new(seed, size, mutant))
}

fn chaos_in(world: &mut World) -> Verdict {
    while world.now < CHAOS {
        accident(world);
        work(world)?;
        world.step()?;
    }
    world.net.heal_all();
    world.net.weather = Weather::fair();
    for vm in world.vms.values_mut() {
        vm.restart_at = world.now;
        vm.stalled_until = world.now;
    }
    let end = world.now + RECOVERY;
    while !world.is_whole() && world.now < end {
        world.repair()?;
        world.step()?;
    }
    let before = world.checker.accepted.len();
    let end = world.now + RECOVERY;
    while world.checker.accepted.len() == before {
        // As a caller does whose command was refused, or became uncertain.
        ensure(world.now < end, || format!("{LATE}: a new command"))?;
        if let Some(leader) = world.leader() {
            world.propose(&leader)?;
        }
        world.run(RESEND)?;
    }
    world.until("every replica whole", RECOVERY, World::is_whole)?;
    world.names().iter().try_for_each(|name| world.check_accepted(name))
}

fn work(world: &mut World) -> Verdict {
    let names = world.names();
    let any = names.choose(&mut world.random).expect("one").clone();
    let name = world.leader().filter(|_| world.random.random_bool(0.8)).unwrap_or(any.clone());
    match world.random.random_range(0..4) {
        0 | 1 => world.propose(&name),
        2 => world.read(&name).and_then(|()| world.read(&any)),
        _ => world.repair(),
    }
}

fn accident(world: &mut World) {
    let names = world.names();
    let mut pick = || names.choose(&mut world.random).expect("one").clone();
    let (one, other) = (pick(), pick());
    match world.random.random_range(0..400) {
        0..6 => crash(world, &one),
        6..8 => world.net.cut(&one, &other),
        8 => names.iter().for_each(|it| world.net.cut(it, &one)),
        9 => names.iter().for_each(|it| world.net.cut(&one, it)),
        10..16 => world.net.heal_all(),
        16..18 => world.net.weather = Weather::fair(),
        18 => world.net.weather = storm(),
        19..26 if world.may_lose() => lose(world, &one),
        26..29 if world.may_lose() => {
            let vm = world.vms.get_mut(&one).expect("known");
            vm.rotten = vm.disk.rot();
            crash(world, &one);
        }
        30..36 => stall(world, &one),
        29 => names.iter().for_each(|it| crash(world, it)),
        _ => {}
    }
}

fn storm() -> Weather {
    let (delay_min, delay_max) = (Duration::from_millis(1), Duration::from_millis(80));
    Weather { loss: 0.1, duplication: 0.1, delay_min, delay_max }
}

fn crash(world: &mut World, name: &NodeId) {
    let between = world.random.random();
    let down = Duration::from_millis(world.random.random_range(0..1500));
    let vm = world.vms.get_mut(name).expect("known");
    vm.crash(between);
    vm.restart_at = world.now + down;
}

/// A process that stands still and goes on does not know what it missed.
fn stall(world: &mut World, name: &NodeId) {
    let time = Duration::from_millis(world.random.random_range(0..1500));
    let vm = world.vms.get_mut(name).expect("known");
    vm.stalled_until = world.now + time;
}

fn lose(world: &mut World, name: &NodeId) {
    let seed = world.random.random();
    let mutant = world.mutant;
    let vm = world.vms.get_mut(name).expect("known");
    vm.lose_disk(seed, mutant);
    vm.restart_at = world.now;
}

// Operators and callers see commands accepted, refused or uncertain, never one
// accepted and then gone, nor a read that misses one. Replicas crash between
// write and sync, lose and rot disks, are cut off one way, and are replaced.
// It holds since nothing counts before it is synced, and no majority misses it.
#[rstest]
#[case::three(3, 90)]
#[case::five(5, 70)]
#[case::seven(7, 40)]
fn chaos_safe_and_live(#[case] size: usize, #[case] seeds: u64) {
    for seed in 0..seeds {
        let verdict = chaos(seed, size, None);
        assert_eq!(verdict, Ok(()), "seed {seed}, {size} replicas");
    }
}

/// `HEMLOCKFIELD_SEEDS=1000..2000 cargo test chaos_long -- --ignored`
#[test]
#[ignore = "long: thousands of seeds"]
fn chaos_long() {
    let range = std::env::var("HEMLOCKFIELD_SEEDS").unwrap_or("1000..4000".to_owned());
    let (first, end) = range.split_once("..").expect("a range such as 1000..2000");
    let (first, end): (u64, u64) = (first.parse().expect("first"), end.parse().expect("end"));
    for seed in first..end {
        let size = [3, 5, 7][usize::try_from(seed % 3).expect("small")];
        let verdict = chaos(seed, size, None);
        assert_eq!(verdict, Ok(()), "seed {seed}, {size} replicas");
    }
}
