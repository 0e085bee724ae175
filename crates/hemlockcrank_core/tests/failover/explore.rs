//! Every interleaving of writes, replication, acknowledgements and two changes of primary that overlap,
//! over the real [`Handoff`] and the real acknowledgement rule. Orders may be late or lost.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
};

use hemlockcrank_core::{
    Name,
    directory::{Role, TermStart},
    failover::{Handoff, Order, Status, Step},
    request::commit_survived,
    session::{Position, floor, is_acknowledged},
};
use pathfinding::directed::bfs::bfs_reach;

const MEMBERS: usize = 3;
const WRITES: u8 = 2;
const ROUNDS: u8 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Plant {
    Nothing,
    /// One adopter is enough for a promotion.
    OneAdopter,
    /// Terms are left out when acknowledgements are counted.
    AnyTerm,
    /// Commits are judged before the new primary has settled.
    JudgesEarly,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    adopted: u64,
    role: Role,
    /// Term and number of each write.
    log: Vec<(u64, u8)>,
}

impl Member {
    fn last(&self) -> Position {
        let term = self.log.last().map_or(0, |entry| entry.0);
        Position::new(term, self.log.len() as u64)
    }

    fn status(&self) -> Status {
        Status {
            adopted: self.adopted,
            role: self.role,
            last: self.last(),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Executor {
    term: u64,
    handoff: Handoff,
    answers: BTreeMap<usize, Status>,
    rounds: u8,
    done: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    id: u8,
    position: Position,
    reports: BTreeMap<usize, (u64, Position)>,
    acknowledged: bool,
    /// What a host found out after a change of primary.
    survived: Option<bool>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// Committed term, primary and what it began with.
    committed: (u64, usize, Option<TermStart>),
    members: Vec<Member>,
    executors: Vec<Executor>,
    /// Orders on their way: executor, order is a promotion, member.
    orders: BTreeSet<(usize, bool, usize)>,
    writes: Vec<Write>,
}

fn name(index: usize) -> Name {
    format!("m{index}").into()
}

fn start(plant: Plant) -> State {
    let members = (0..MEMBERS).map(|index| Member {
        adopted: 1,
        role: if index == 0 {
            Role::Primary
        } else {
            Role::Replica
        },
        log: Vec::new(),
    });
    let quorum = if plant == Plant::OneAdopter { 1 } else { 2 };
    let executors = [2, 3].map(|term| Executor {
        term,
        handoff: Handoff::new(term, (0..MEMBERS).map(name), quorum, None),
        answers: BTreeMap::new(),
        rounds: 0,
        done: false,
    });
    State {
        members: members.collect(),
        executors: executors.to_vec(),
        orders: BTreeSet::new(),
        writes: Vec::new(),
        committed: (1, 0, None),
    }
}

/// The executor takes what answers it has and gives its next orders.
fn proceed(state: &mut State, index: usize) {
    let executor = &mut state.executors[index];
    let answers: Vec<(Name, Status)> = executor
        .answers
        .iter()
        .map(|(member, status)| (name(*member), *status))
        .collect();
    executor.answers.clear();
    executor.rounds += 1;
    match executor.handoff.step(&answers) {
        Step::Tell(order, members) => {
            for member in 0..MEMBERS {
                if members.contains(&name(member)) {
                    state
                        .orders
                        .insert((index, order == Order::Promote, member));
                }
            }
        }
        Step::Poll(_) => {}
        Step::Superseded => executor.done = true,
        Step::Done(member) => {
            executor.done = true;
            let (term, last) = (executor.term, executor.handoff.base());
            let from_term = state.committed.0;
            if term > from_term {
                let primary = (0..MEMBERS)
                    .find(|index| name(*index) == member)
                    .unwrap_or(0);
                let base = last.map(|last| TermStart {
                    previous_term: from_term,
                    last,
                });
                state.committed = (term, primary, base);
            }
        }
    }
}

/// A member carries out an order; refuses it when it has adopted a newer term.
fn obey(
    state: &mut State,
    (executor, promote, member): (usize, bool, usize),
) -> Result<(), String> {
    state.orders.remove(&(executor, promote, member));
    let term = state.executors[executor].term;
    let target = &mut state.members[member];
    if promote && target.adopted == term && target.role != Role::Primary {
        target.role = Role::Primary;
        target.log.push((term, 0));
        check_promoted(state, member)?;
    } else if !promote && term > target.adopted {
        target.adopted = term;
        target.role = Role::Replica;
    }
    let status = state.members[member].status();
    state.executors[executor].answers.insert(member, status);
    Ok(())
}

/// A new primary holds every acknowledged write, and is the only one of its term.
fn check_promoted(state: &State, member: usize) -> Result<(), String> {
    let promoted = &state.members[member];
    for write in state.writes.iter().filter(|write| write.acknowledged) {
        if !promoted.log.contains(&(write.position.term, write.id)) {
            return Err(format!("write {} is lost by a promotion", write.id));
        }
    }
    for write in &state.writes {
        let holds = promoted.log.contains(&(write.position.term, write.id));
        if write.survived.is_some_and(|survived| survived != holds) {
            return Err(format!("write {} was judged and then changed", write.id));
        }
    }
    let rivals = state
        .members
        .iter()
        .filter(|other| other.role == Role::Primary && other.adopted == promoted.adopted);
    if rivals.count() > 1 {
        return Err(format!("two primaries in term {}", promoted.adopted));
    }
    Ok(())
}

fn write(state: &mut State, member: usize) {
    let id = state.writes.len() as u8 + 1;
    let target = &mut state.members[member];
    target.log.push((target.adopted, id));
    let position = target.last();
    state.writes.push(Write {
        id,
        position,
        reports: BTreeMap::new(),
        acknowledged: false,
        survived: None,
    });
}

/// A host that knows a commit's position judges it by what the committed primary began with, once a
/// majority holds an entry of that primary's own term.
fn judge(state: &State, write: usize, plant: Plant) -> Option<State> {
    let (term, primary, base) = state.committed;
    let primary = &state.members[primary];
    let reports: Vec<(u64, Position)> = state
        .members
        .iter()
        .map(|member| (member.adopted, member.last()))
        .collect();
    let pending = &state.writes[write];
    if pending.acknowledged || pending.survived.is_some() {
        return None;
    }
    let own_term = primary.adopted == primary.last().term;
    let settled = match plant {
        Plant::JudgesEarly => Position::new(term, 1),
        _ if own_term && is_acknowledged(MEMBERS, primary.last(), &reports) => primary.last(),
        _ => return None,
    };
    let survived = commit_survived(pending.position, term, &base?, settled)?;
    let mut copy = state.clone();
    copy.writes[write].survived = Some(survived);
    Some(copy)
}

/// The host that waits for a write samples one member, and acknowledges when the rule allows it.
fn sample(state: &mut State, write: usize, member: usize, plant: Plant) -> Result<(), String> {
    let seen = &state.members[member];
    let report = (seen.adopted, seen.last());
    let write = &mut state.writes[write];
    write.reports.insert(member, report);
    let mut reports: Vec<(u64, Position)> = write.reports.values().copied().collect();
    if plant == Plant::AnyTerm {
        for (adopted, last) in &mut reports {
            *adopted = write.position.term;
            last.term = write.position.term;
        }
    }
    write.acknowledged = is_acknowledged(MEMBERS, write.position, &reports);
    if !write.acknowledged {
        return Ok(());
    }
    let (id, position) = (write.id, write.position);
    check_acknowledged(state, id, position)
}

/// An acknowledged write is in the newest primary of its own or a later term, and every read floor covers
/// it. A primary of an earlier term may still believe in itself; it cannot acknowledge anything.
fn check_acknowledged(state: &State, id: u8, position: Position) -> Result<(), String> {
    let primaries = state.members.iter().filter(|m| m.role == Role::Primary);
    let later = primaries.filter(|member| member.adopted >= position.term);
    let newest = later.max_by_key(|member| member.adopted);
    if newest.is_some_and(|newest| !newest.log.contains(&(position.term, id))) {
        return Err(format!(
            "write {id} is acknowledged by a superseded primary"
        ));
    }
    check_floors(state)
}

/// Any member at the floor of any majority of samples holds every acknowledged write.
fn check_floors(state: &State) -> Result<(), String> {
    for left_out in 0..=MEMBERS {
        let sampled = (0..MEMBERS).filter(|member| *member != left_out);
        let samples: Vec<Position> = sampled.map(|m| state.members[m].last()).collect();
        let Some(floor) = floor(MEMBERS, &samples) else {
            continue;
        };
        for member in state.members.iter().filter(|m| m.last() >= floor) {
            for write in state.writes.iter().filter(|write| write.acknowledged) {
                if !member.log.contains(&(write.position.term, write.id)) {
                    return Err(format!("a read at the floor misses write {}", write.id));
                }
            }
        }
    }
    Ok(())
}

fn replicate(state: &mut State, from: usize, to: usize) -> bool {
    let (source, target) = (&state.members[from], &state.members[to]);
    let follows = source.role == Role::Primary && source.adopted == target.adopted;
    if !follows || source.log == target.log || target.role == Role::Primary {
        return false;
    }
    let same = source
        .log
        .iter()
        .zip(&target.log)
        .take_while(|(a, b)| a == b);
    let common = same.count();
    let next = source.log.get(common).copied();
    let target = &mut state.members[to];
    target.log.truncate(common);
    target.log.extend(next);
    true
}

fn successors(state: &State, plant: Plant) -> Result<Vec<State>, String> {
    let mut next = Vec::new();
    for (index, executor) in state.executors.iter().enumerate() {
        let earlier = index == 0 || state.executors[index - 1].rounds > 0;
        if !executor.done && executor.rounds < ROUNDS && earlier {
            let mut copy = state.clone();
            proceed(&mut copy, index);
            next.push(copy);
        }
    }
    for order in &state.orders {
        let mut copy = state.clone();
        obey(&mut copy, *order)?;
        next.push(copy);
    }
    for from in 0..MEMBERS {
        if state.writes.len() < usize::from(WRITES) && state.members[from].role == Role::Primary {
            let mut copy = state.clone();
            write(&mut copy, from);
            next.push(copy);
        }
        for to in 0..MEMBERS {
            let mut copy = state.clone();
            if from != to && replicate(&mut copy, from, to) {
                check_floors(&copy)?;
                next.push(copy);
            }
        }
    }
    for (index, write) in state.writes.iter().enumerate() {
        next.extend(judge(state, index, plant));
        for member in 0..MEMBERS {
            let seen = &state.members[member];
            let news = write.reports.get(&member) != Some(&(seen.adopted, seen.last()));
            if !write.acknowledged && news {
                let mut copy = state.clone();
                sample(&mut copy, index, member, plant)?;
                next.push(copy);
            }
        }
    }
    Ok(next)
}

/// Walks states until a violation or `limit`; returns their number and the violation.
fn explore(plant: Plant, limit: usize) -> (usize, Option<String>) {
    explore_from(start(plant), plant, limit)
}

fn explore_from(start: State, plant: Plant, limit: usize) -> (usize, Option<String>) {
    let violation = RefCell::new(None);
    let reach = bfs_reach(start, |state| {
        if violation.borrow().is_some() {
            return Vec::new();
        }
        successors(state, plant).unwrap_or_else(|found| {
            *violation.borrow_mut() = Some(found);
            Vec::new()
        })
    });
    let count = reach.take(limit).count();
    (count, violation.into_inner())
}

/// States that CI walks, breadth first; the whole space is walked by the long command in docs/PROOFS.md.
fn limit() -> usize {
    let given = std::env::var("EXPLORE_LIMIT").ok();
    given
        .and_then(|limit| limit.parse().ok())
        .unwrap_or(400_000)
}

#[test]
fn no_acknowledged_write_is_lost_by_overlapping_changes_of_primary() {
    let (states, violation) = explore(Plant::Nothing, limit());
    println!("explored {states} states ({WRITES} writes, 2 changes, {ROUNDS} rounds each)");
    assert_eq!(violation, None);
    assert!(states > 100_000, "{states} states are too few to mean much");
}

#[test]
fn a_promotion_without_a_majority_is_caught() {
    let (states, violation) = explore(Plant::OneAdopter, limit());
    println!("caught after {states} states");
    assert!(violation.is_some());
}

#[test]
fn an_acknowledgement_that_leaves_out_terms_is_caught() {
    let (states, violation) = explore(Plant::AnyTerm, limit());
    println!("caught after {states} states");
    assert!(violation.is_some());
}

/// A write that only the first primary holds, and a change of primary that is committed without it.
fn after_a_change(plant: Plant) -> State {
    let mut state = start(plant);
    write(&mut state, 0);
    proceed(&mut state, 0);
    for order in [(0, false, 1), (0, false, 2)] {
        obey(&mut state, order).expect("adopt");
    }
    proceed(&mut state, 0);
    let promotion = state.orders.iter().find(|order| order.1).copied();
    obey(&mut state, promotion.expect("a promotion")).expect("promote");
    proceed(&mut state, 0);
    assert_eq!(state.committed.0, 2);
    state
}

#[test]
fn a_commit_judged_after_the_new_primary_has_settled_never_changes() {
    let start = after_a_change(Plant::Nothing);
    let (states, violation) = explore_from(start, Plant::Nothing, limit());
    println!("explored {states} states after a change");
    assert_eq!(violation, None);
    assert!(states > 10_000, "{states} states are too few to mean much");
}

#[test]
fn a_commit_that_is_judged_before_the_new_primary_has_settled_is_caught() {
    let start = after_a_change(Plant::JudgesEarly);
    let (states, violation) = explore_from(start, Plant::JudgesEarly, limit());
    println!("caught after {states} states");
    assert!(violation.is_some_and(|found| found.contains("judged and then changed")));
}
