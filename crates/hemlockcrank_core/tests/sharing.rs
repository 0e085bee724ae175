//! Executors of a zone: who runs the operations of its hosts, and with how many connections.

use std::collections::{BTreeMap, BTreeSet};

use hemlockcrank_core::{
    Name,
    connections::Fleet,
    membership::{Host, View},
    sharing::{Assignment, is_shared},
};

fn view(zones: &[(&str, usize)]) -> View {
    let mut view = View::default();
    for (zone, hosts) in zones {
        for number in 0..*hosts {
            view.insert(Host::new(format!("{zone}-{number}"), *zone));
        }
    }
    view
}

fn services(count: usize) -> Vec<Name> {
    (0..count)
        .map(|number| format!("service-{number}").into())
        .collect()
}

fn executors(assignment: &Assignment, services: &[Name]) -> Vec<(Name, Name)> {
    let pairs = services.iter().flat_map(|service| {
        let executors = assignment.executors(service, "workspace");
        executors.map(|host| (service.clone(), host.clone()))
    });
    pairs.collect()
}

/// Guards against an entry host that runs the operations of two services while others run none.
#[test]
fn no_host_is_executor_twice_while_another_is_not() {
    let services = services(8);
    let view = view(&[("a", 23), ("b", 23)]);

    let assignment = Assignment::new(&view, "a", services.clone());

    let pairs = executors(&assignment, &services);
    let hosts: BTreeSet<&Name> = pairs.iter().map(|(_, host)| host).collect();
    assert_eq!((pairs.len(), hosts.len()), (16, 16));
    assert!(hosts.iter().all(|host| host.starts_with("a-")));
}

/// Guards against an assignment that changes as a whole, and with it all pools, when one host leaves.
#[test]
fn few_executors_change_when_a_host_leaves() {
    let services = services(8);
    let whole = view(&[("a", 23), ("b", 23)]);
    let before = executors(&Assignment::new(&whole, "a", services.clone()), &services);
    let mut most = 0;
    for number in 0..23 {
        let mut smaller = whole.clone();
        smaller.remove(&format!("a-{number}"), 0);

        let after = executors(&Assignment::new(&smaller, "a", services.clone()), &services);

        let before: BTreeSet<&(Name, Name)> = before.iter().collect();
        let moved = after.iter().filter(|pair| !before.contains(pair)).count();
        most = most.max(moved);
    }
    assert!(most <= 4, "{most} of 16 executors changed");
}

/// Guards against operations of one workspace that are spread over several pools.
#[test]
fn a_workspace_has_one_preferred_executor_and_the_other_as_fallback() {
    let services = services(2);
    let assignment = Assignment::new(&view(&[("a", 8)]), "a", services.clone());
    let mut preferred: BTreeMap<Name, usize> = BTreeMap::new();
    for number in 0..100 {
        let order: Vec<&Name> = assignment
            .executors(&services[0], &format!("workspace-{number}"))
            .collect();

        assert_eq!(order.len(), 2);
        assert_ne!(order[0], order[1]);
        *preferred.entry(order[0].clone()).or_default() += 1;
    }
    assert!(
        preferred.values().all(|count| *count >= 30),
        "{preferred:?}"
    );
}

/// Guards against executors that together open more connections than a member accepts.
#[test]
fn executors_leave_connections_for_other_hosts() {
    let services = services(8);
    let zones = [("a", 23), ("b", 23), ("c", 25)];
    let assignment = Assignment::new(&view(&zones), "a", services.clone());

    let each = assignment.connections(&services[0], 56);

    assert_eq!(each, 7);
    assert!(each * 2 * zones.len() < 56);
}

/// Guards against a hop on sites whose hosts have connections enough, or too few hosts for it to pay.
#[test]
fn only_large_sites_share() {
    let fleet = |connections, hosts| Fleet { connections, hosts };
    assert!(is_shared(fleet(56, 71), 23));
    assert!(is_shared(fleet(70, 32), 10));
    assert!(!is_shared(fleet(156, 55), 13));
    assert!(!is_shared(fleet(34, 6), 2));
    assert!(!is_shared(fleet(16, 7), 3));
}
