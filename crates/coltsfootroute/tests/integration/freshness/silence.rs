//! Tests that an accepted change is in force in time even if nodes miss it, and that the number of polls is bounded.

use std::time::Duration;

use coltsfootroute::{id::NodeId, time::MonotonicTime};
use rand::{RngExt, SeedableRng, seq::IteratorRandom};
use rand_pcg::Pcg64;
use rstest::rstest;

use super::config_world::{APPLY_TIME, ConfigWorld};

const SEEDS: u64 = 20;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against polls that all wait on connections that have failed silently: no node receives a change, so that none
/// can inform the others.
#[rstest]
#[case::small(5)]
#[case::medium(14)]
#[case::large(40)]
fn a_change_is_in_force_in_time_after_silent_connection_failures(#[case] nodes: u8) {
    for seed in 0..SEEDS {
        let mut world = ConfigWorld::new(seed, nodes);
        for id in world.ids() {
            world.silence_connections(id);
        }

        world.run(Duration::from_millis(100));
        world.change();
        world.run(APPLY_TIME * 3);

        assert_eq!(world.breaches, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against polls that a store has accepted and will never answer, which look like a time without changes.
#[rstest]
#[case::small(5)]
#[case::medium(14)]
#[case::large(40)]
fn a_change_is_in_force_in_time_after_the_store_drops_all_polls(#[case] nodes: u8) {
    for seed in 0..SEEDS {
        let mut world = ConfigWorld::new(seed, nodes);
        world.silence_store(seconds(1));

        world.run(seconds(4));
        world.change();
        world.run(APPLY_TIME * 3);

        assert_eq!(world.breaches, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a node that pulls from one peer after the other while the peers that announced the change are dead.
#[test]
fn a_change_is_in_force_in_time_though_its_announcers_are_dead() {
    for seed in 0..SEEDS {
        let mut world = ConfigWorld::new(seed, 8);
        for id in world.ids() {
            world.silence_connections(id);
        }
        world.run(seconds(3));

        for _ in 0..3 {
            world.change();
            world.run(Duration::from_millis(60));
            world.kill(world.first_to_know());
        }
        world.run(APPLY_TIME * 3);

        assert_eq!(world.breaches, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a node that keeps waiting on a poll that has missed a change: once it is partitioned from the others,
/// it would receive no changes at all.
#[test]
fn a_node_restarts_a_poll_that_has_missed_a_change() {
    for seed in 0..SEEDS {
        let mut world = ConfigWorld::new(seed, 40);
        let node = world.ids()[0];
        world.drop_poll(node);
        world.change();
        world.run(seconds(3));

        world.cut(node);
        world.change();
        world.run(APPLY_TIME * 2);

        assert_eq!(world.breaches, Vec::<String>::new(), "seed {seed}");
    }
}

/// Pattern: faults drawn at random, two or three kinds at a time.
#[test]
fn changes_are_in_force_in_time_under_random_faults() {
    for seed in 0..SEEDS {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut world = ConfigWorld::new(seed, rng.random_range(5..=14));
        let mut dead = Vec::new();
        for _ in 0..12 {
            inject_fault(&mut world, &mut rng, &mut dead);
            world.run(Duration::from_millis(rng.random_range(50..900)));
        }
        world.run(seconds(12));

        assert_eq!(world.breaches, Vec::<String>::new(), "seed {seed}");
    }
}

fn inject_fault(world: &mut ConfigWorld, rng: &mut Pcg64, dead: &mut Vec<NodeId>) {
    match rng.random_range(0..6) {
        0 => world.ids().into_iter().for_each(|id| world.silence_connections(id)),
        1 => {
            let share = world.ids().len() / 2;
            let some = world.ids().into_iter().sample(rng, share);
            some.into_iter().for_each(|id| world.silence_connections(id));
        }
        2 => world.silence_store(Duration::from_millis(rng.random_range(200..2_000))),
        3 => {
            let id = world.first_to_know();
            world.kill(id);
            dead.push(id);
        }
        4 => dead.drain(..).for_each(|id| world.restart(id)),
        _ => world.change(),
    }
}

/// Guards against a fix by which each node polls more often: calls to the store cost money.
#[rstest]
#[case::small(5)]
#[case::medium(14)]
#[case::large(60)]
fn idle_polls_do_not_grow_with_the_number_of_nodes(#[case] nodes: u8) {
    let rest = seconds(60);
    let mut world = ConfigWorld::new(7, nodes);
    world.run(seconds(10));
    let (before, began): (u64, MonotonicTime) = (world.polls, world.now());

    world.run(rest);

    let asked = world.polls - before;
    let elapsed = world.now().since(began).as_secs();
    assert!(asked <= MAX_POLLS_PER_S * elapsed, "{asked} of {nodes}");
}

/// Largest number of polls a second by all nodes together.
const MAX_POLLS_PER_S: u64 = 3;
