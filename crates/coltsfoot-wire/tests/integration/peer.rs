//! Replies between nodes: what upstreams have stated, and what nodes of earlier builds read.

use std::time::Duration;

use capnp::{message::Builder, serialize_packed};
use coltsfoot_wire::{
    peer::{CallReply, LevelNote, ReplyBody},
    peer_capnp::call_reply,
};
use coltsfootroute::{
    admission::ShedLevel,
    id::NodeId,
    membership::{InstanceIncarnation, InstanceName, StartTime},
    name::ServiceName,
    outcome::{CallOutcome, RefusalReason},
    upstream_limit::{RequestRate, UpstreamNotice},
};
use rstest::rstest;

/// Most bytes that a notice adds to a packed message.
const MAX_NOTICE_BYTES: usize = 48;

fn notice(limit: Option<u64>, started: Option<u64>, is_leaving: bool) -> UpstreamNotice {
    let incarnation = InstanceIncarnation::new(InstanceName::new("i-ae6585cb4f"));
    UpstreamNotice {
        incarnation: incarnation.with_started(started.map(StartTime)),
        limit: limit.map(RequestRate),
        is_leaving,
    }
}

fn refusal(reason: RefusalReason, notice: Option<UpstreamNotice>) -> CallReply {
    let reply = CallReply::refusal(reason, CallOutcome::NotRun, Duration::from_millis(700));
    let level = LevelNote {
        service: ServiceName::new("stock"),
        guard: NodeId(([127, 0, 0, 1], 7).into()),
        level: ShedLevel::from_severity(120),
        rate_level: ShedLevel::from_severity(900),
    };
    CallReply { levels: vec![level], notice, ..reply }
}

fn written(reply: &CallReply) -> Builder<capnp::message::HeapAllocator> {
    let mut message = Builder::new_default();
    reply.write(message.init_root::<call_reply::Builder<'_>>());
    message
}

fn packed_bytes(reply: &CallReply) -> usize {
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, &written(reply)).expect("a vector");
    bytes.len()
}

#[rstest]
#[case::nothing(None)]
#[case::limited(Some(notice(Some(18_700), None, false)))]
#[case::limited_to_nothing(Some(notice(Some(0), Some(1_796_228_561_138), false)))]
#[case::lifted(Some(notice(None, None, false)))]
#[case::leaving(Some(notice(None, Some(7), true)))]
fn a_reply_is_read_as_it_was_written(#[case] notice: Option<UpstreamNotice>) {
    let reply = refusal(RefusalReason::UpstreamLimit, notice);

    let message = written(&reply);
    let reader = message.get_root_as_reader::<call_reply::Reader<'_>>().expect("a root");

    assert_eq!(CallReply::read(reader).expect("a reply"), reply);
}

/// Guards against a reason that a node of an earlier build cannot read, and ends its connection for.
#[test]
fn nodes_of_earlier_builds_read_a_refusal_for_overload() {
    let reply = refusal(RefusalReason::UpstreamLimit, None);

    let message = written(&reply);
    let reader = message.get_root_as_reader::<call_reply::Reader<'_>>().expect("a root");
    let call_reply::Which::Refusal(refused) = reader.which().expect("a body") else {
        panic!("an answer")
    };

    assert_eq!(refused.get_reason().expect("a reason"), "overload");
}

#[test]
fn a_notice_costs_a_reply_few_bytes() {
    let without = packed_bytes(&refusal(RefusalReason::Overload, None));
    let with = packed_bytes(&refusal(
        RefusalReason::Overload,
        Some(notice(Some(18_700), Some(1_796_228_561_138), true)),
    ));

    assert!(with - without <= MAX_NOTICE_BYTES, "{with} and {without} bytes");
}

/// Guards against numbers of a peer, which may be of an earlier build, that are no status of an answer.
#[rstest]
#[case(0)]
#[case(101)]
#[case(199)]
#[case(600)]
#[case(u16::MAX)]
fn an_answer_without_a_final_status_is_lost(#[case] status: u16) {
    let body = ReplyBody::Answer {
        status,
        content_type: String::new(),
        headers: Vec::new(),
        body: "odd".into(),
        replayed: false,
    };
    let refusal = refusal(RefusalReason::Overload, None);
    let reply =
        CallReply { body, outcome: CallOutcome::Completed, reached_upstream: true, ..refusal };

    let message = written(&reply);
    let reader = message.get_root_as_reader().expect("a reply");
    let read = CallReply::read(reader).expect("a reply");

    assert_eq!(read.reason(), Some(RefusalReason::UpstreamFailed));
    assert_eq!((read.outcome, read.reached_upstream), (CallOutcome::Unknown, true));
    assert_eq!(read.levels, reply.levels);
}
