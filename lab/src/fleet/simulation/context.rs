//! Configuration, event queue and counts that the models of a run share.

use super::event::ScheduledEvent;
use crate::fleet::configuration::{Configuration, DiscoveryMode};
use crate::fleet::event_queue::EventQueue;
use crate::fleet::measures::Measures;
use crate::fleet::requests::Demand;
use crate::fleet::wire_size::RequestHead;
use oliverack::{Seconds, Time};

/// Context of a run that is passed to its models. Holds no state of any model.
#[derive(Debug)]
pub struct RunContext {
    /// Configuration of the run.
    pub configuration: Configuration,
    /// Counts of the run so far.
    pub measures: Measures,
    event_queue: EventQueue<ScheduledEvent>,
}

impl RunContext {
    /// Returns the context at the start of a run.
    pub fn new(configuration: Configuration) -> Self {
        let measures = Measures::new(configuration.gateways.count as usize);
        Self { configuration, measures, event_queue: EventQueue::default() }
    }

    /// Returns the current simulated time.
    pub fn now(&self) -> Time {
        self.event_queue.now()
    }

    /// Schedules an event at a time, or now if that time has passed.
    pub fn schedule_at(&mut self, due_at: Time, event: ScheduledEvent) {
        self.event_queue.schedule(due_at, event);
    }

    /// Schedules an event after a delay.
    pub fn schedule_after(&mut self, delay: Seconds, event: ScheduledEvent) {
        self.event_queue.schedule(self.event_queue.now() + delay, event);
    }

    /// Takes the next event and moves the clock to its time. Returns `None` if no event is due by `limit`.
    pub fn next_event(&mut self, limit: Time) -> Option<ScheduledEvent> {
        self.event_queue.pop_until(limit)
    }

    /// Returns the zone of a gateway.
    pub fn gateway_zone(&self, gateway: usize) -> u32 {
        gateway as u32 % self.configuration.topology.zones
    }

    /// Returns the one-way network delay between two zones, which may be the same.
    pub fn network_delay(&self, from_zone: u32, to_zone: u32) -> Seconds {
        let topology = &self.configuration.topology;
        let region = |zone: u32| zone * topology.regions / topology.zones;
        if from_zone == to_zone {
            topology.delay_in_zone
        } else if region(from_zone) == region(to_zone) {
            topology.delay_in_region
        } else {
            topology.delay_between_regions
        }
    }

    /// Returns whether gateways have to poll for the endpoint list.
    pub fn discovery_is_polled(&self) -> bool {
        self.configuration.discovery.mode == DiscoveryMode::Poll
    }

    /// Returns the properties of a demand on which the size of its messages depends at the current time.
    pub fn request_head(&self, demand: &Demand) -> RequestHead<'_> {
        let class = &self.configuration.classes[demand.class];
        RequestHead {
            class: &class.name,
            repeat_effect: class.repeat_effect,
            remaining: demand.deadline - self.now(),
            body_bytes: self.configuration.clients.request_body_bytes,
        }
    }
}
