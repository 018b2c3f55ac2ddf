use super::*;
use std::collections::BTreeMap;

/// Expected state of an endpoint.
#[derive(Default)]
struct ModelEndpoint {
    is_running: bool,
    is_listed: bool,
    in_flight: f64,
    ejected_until: Time,
}

/// A table and a simple model of it, which get the same updates.
#[derive(Default)]
struct TableWithModel {
    table: EndpointTable,
    model: BTreeMap<EndpointId, ModelEndpoint>,
    in_maintenance: BTreeSet<EndpointId>,
}

impl TableWithModel {
    fn update(&mut self, is_complete: bool, entries: Vec<Endpoint>) {
        if is_complete {
            for model in self.model.values_mut() {
                model.is_running = false;
                model.is_listed = false;
            }
        }
        for entry in &entries {
            let model = self.model.entry(entry.id.clone()).or_default();
            model.is_running = entry.lifecycle == Lifecycle::Running;
            model.is_listed = entry.lifecycle != Lifecycle::Gone;
        }
        self.model.retain(|_, endpoint| endpoint.is_listed || endpoint.in_flight > 0.0);
        self.table.update(is_complete, entries, |_, _| {});
    }

    fn set_health(&mut self, id: &EndpointId, in_flight: f64, ejected_until: Time) {
        let Some(handle) = self.table.find(id) else { return };
        let health = self.table[handle].health_mut();
        health.in_flight = in_flight;
        health.ejected_until = ejected_until;
        self.table.record_ejection(handle);
        let model = self.model.get_mut(id).expect("the model has the same endpoints");
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

    fn assert_equal(&mut self, now: Time) {
        assert!(self.table.iter().map(|(id, _)| id).eq(self.model.keys()));
        let is_usable = |(id, endpoint): &(&EndpointId, &ModelEndpoint)| {
            endpoint.is_running && !self.in_maintenance.contains(*id)
        };
        let usable_ids = self.model.iter().filter(is_usable).map(|(id, _)| id);
        assert!(self.table.usable().iter().map(|handle| self.table.id(*handle)).eq(usable_ids));
        let ejected =
            self.model.iter().filter(is_usable).filter(|(_, endpoint)| now < endpoint.ejected_until).count();
        assert_eq!(self.table.count_ejected(now), ejected);
        let listed = || self.model.iter().filter(|(_, endpoint)| endpoint.is_listed);
        let avoided = listed().filter(|entry| !is_usable(entry) || now < entry.1.ejected_until).count();
        assert_eq!(self.table.counts(now), EndpointCounts { listed: listed().count(), avoided });
    }
}

#[test]
fn random_updates_match_a_simple_model() {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut tables = TableWithModel::default();
    for step in 0..5_000 {
        let now = f64::from(step);
        let id: EndpointId = format!("s{}", rng.u32(0..40)).into();
        let entries = |rng: &mut fastrand::Rng, max_count: usize| -> Vec<Endpoint> {
            let lifecycles = [Lifecycle::Running, Lifecycle::Running, Lifecycle::Draining, Lifecycle::Gone];
            let entry = |rng: &mut fastrand::Rng| Endpoint {
                id: format!("s{}", rng.u32(0..40)).into(),
                zone: 0,
                cell: 0,
                started: 0.0,
                lifecycle: lifecycles[rng.usize(0..lifecycles.len())],
            };
            (0..rng.usize(0..max_count)).map(|_| entry(rng)).collect()
        };
        match rng.u32(0..20) {
            0 => tables.update(true, entries(&mut rng, 60)),
            1..8 => tables.update(false, entries(&mut rng, 4)),
            8..14 => tables.set_health(&id, f64::from(rng.u32(0..3)), now + f64::from(rng.u32(0..20))),
            14..17 => tables.set_maintenance(&id, rng.bool()),
            17 => {
                let in_maintenance: Vec<EndpointId> =
                    entries(&mut rng, 5).into_iter().map(|entry| entry.id).collect();
                tables.in_maintenance = in_maintenance.iter().cloned().collect();
                tables.table.replace_maintenance(in_maintenance);
            }
            _ => {}
        }
        tables.assert_equal(now);
    }
}

#[test]
fn first_usable_endpoint_follows_the_last() {
    let mut tables = TableWithModel::default();
    let endpoint = |id: &str| {
        let (id, lifecycle) = (id.into(), Lifecycle::Running);
        Endpoint { id, zone: 0, cell: 0, started: 0.0, lifecycle }
    };
    tables.update(true, ["c", "a", "d", "b"].map(endpoint).to_vec());
    let ids: Vec<&str> =
        (0..4).map(|offset| &**tables.table.id(tables.table.usable_from(0.6, offset))).collect();
    assert_eq!(ids, ["c", "d", "a", "b"]);
}
