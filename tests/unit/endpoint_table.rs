use super::*;
use std::collections::BTreeMap;

/// What the table should know of an endpoint, kept in the plainest way.
#[derive(Default)]
struct Model {
    running: bool,
    listed: bool,
    in_flight: f64,
    ejected_until: Time,
}

/// A table and its model, to which the same is done.
#[derive(Default)]
struct Pair {
    table: EndpointTable,
    model: BTreeMap<EndpointId, Model>,
    in_maintenance: BTreeSet<EndpointId>,
}

impl Pair {
    fn update(&mut self, is_complete: bool, entries: Vec<Endpoint>) {
        if is_complete {
            for model in self.model.values_mut() {
                model.running = false;
                model.listed = false;
            }
        }
        for entry in &entries {
            let model = self.model.entry(entry.id.clone()).or_default();
            model.running = entry.lifecycle == Lifecycle::Running;
            model.listed = entry.lifecycle != Lifecycle::Gone;
        }
        self.model.retain(|_, m| m.listed || m.in_flight > 0.0);
        self.table.update(is_complete, entries, |_, _| {});
    }

    fn attempt(&mut self, id: &EndpointId, in_flight: f64, ejected_until: Time) {
        let Some(handle) = self.table.find(id) else { return };
        let health = self.table[handle].health_mut();
        health.in_flight = in_flight;
        health.ejected_until = ejected_until;
        self.table.record_ejection(handle);
        let model = self.model.get_mut(id).expect("known to both");
        model.in_flight = in_flight;
        model.ejected_until = ejected_until;
    }

    fn set_maintenance(&mut self, id: &EndpointId, in_maintenance: bool) {
        let was_in_maintenance = self.in_maintenance.contains(id);
        if in_maintenance {
            self.in_maintenance.insert(id.clone())
        } else {
            self.in_maintenance.remove(id)
        };
        assert_eq!(self.table.set_maintenance(id, in_maintenance), was_in_maintenance);
    }

    fn check(&mut self, now: Time) {
        assert!(self.table.iter().map(|(id, _)| id).eq(self.model.keys()));
        let usable = |(id, m): &(&EndpointId, &Model)| m.running && !self.in_maintenance.contains(*id);
        let known = self.model.iter().filter(usable).map(|(id, _)| id);
        assert!(self.table.usable().iter().map(|handle| self.table.id(*handle)).eq(known));
        let ejected = self.model.iter().filter(usable).filter(|(_, m)| now < m.ejected_until).count();
        assert_eq!(self.table.count_ejected(now), ejected);
        let listed = || self.model.iter().filter(|(_, m)| m.listed);
        let avoided = listed().filter(|entry| !usable(entry) || now < entry.1.ejected_until).count();
        assert_eq!(self.table.counts(now), EndpointCounts { listed: listed().count(), avoided });
    }
}

#[test]
fn random_updates_match_a_plain_model() {
    let mut dice = fastrand::Rng::with_seed(11);
    let mut pair = Pair::default();
    for step in 0..5_000 {
        let now = f64::from(step);
        let id: EndpointId = format!("s{}", dice.u32(0..40)).into();
        let entries = |dice: &mut fastrand::Rng, most: usize| -> Vec<Endpoint> {
            let lifecycles = [Lifecycle::Running, Lifecycle::Running, Lifecycle::Draining, Lifecycle::Gone];
            let entry = |dice: &mut fastrand::Rng| Endpoint {
                id: format!("s{}", dice.u32(0..40)).into(),
                zone: 0,
                cell: 0,
                started: 0.0,
                lifecycle: lifecycles[dice.usize(0..lifecycles.len())],
            };
            (0..dice.usize(0..most)).map(|_| entry(dice)).collect()
        };
        match dice.u32(0..20) {
            0 => pair.update(true, entries(&mut dice, 60)),
            1..8 => pair.update(false, entries(&mut dice, 4)),
            8..14 => pair.attempt(&id, f64::from(dice.u32(0..3)), now + f64::from(dice.u32(0..20))),
            14..17 => pair.set_maintenance(&id, dice.bool()),
            17 => {
                let in_maintenance: Vec<EndpointId> =
                    entries(&mut dice, 5).into_iter().map(|e| e.id).collect();
                pair.in_maintenance = in_maintenance.iter().cloned().collect();
                pair.table.replace_maintenance(in_maintenance);
            }
            _ => {}
        }
        pair.check(now);
    }
}

#[test]
fn usable_endpoints_form_a_ring() {
    let mut pair = Pair::default();
    let endpoint = |name: &str| {
        let (id, lifecycle) = (name.into(), Lifecycle::Running);
        Endpoint { id, zone: 0, cell: 0, started: 0.0, lifecycle }
    };
    pair.update(true, ["c", "a", "d", "b"].map(endpoint).to_vec());
    let ring: Vec<&str> = (0..4).map(|i| &**pair.table.id(pair.table.usable_from(0.6, i))).collect();
    assert_eq!(ring, ["c", "d", "a", "b"]);
}
