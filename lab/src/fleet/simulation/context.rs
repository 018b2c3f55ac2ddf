//! What every model of a run uses: the configuration, the event queue and the counts.

use super::event::ScheduledEvent;
use crate::fleet::configuration::{Configuration, DiscoveryMode};
use crate::fleet::event_queue::EventQueue;
use crate::fleet::measures::Measures;
use crate::fleet::requests::Demand;
use crate::fleet::wire_size::RequestHead;
use oliverack::{Seconds, Time};

/// Shared by the models of a run; holds no state of any of them.
#[derive(Debug)]
pub struct Context {
    /// The run's configuration.
    pub configuration: Configuration,
    /// What has been counted so far.
    pub measures: Measures,
    event_queue: EventQueue<ScheduledEvent>,
}

impl Context {
    /// The start of a run.
    pub fn new(configuration: Configuration) -> Self {
        let measures = Measures::new(configuration.gateways.count as usize);
        Self { configuration, measures, event_queue: EventQueue::default() }
    }

    /// The present time.
    pub fn now(&self) -> Time {
        self.event_queue.now()
    }

    /// Schedules an event at a time; the present, if that time has passed.
    pub fn schedule_at(&mut self, at: Time, event: ScheduledEvent) {
        self.event_queue.schedule(at, event);
    }

    /// Schedules an event after a delay.
    pub fn schedule_after(&mut self, delay: Seconds, event: ScheduledEvent) {
        self.event_queue.schedule(self.event_queue.now() + delay, event);
    }

    /// Takes the next event that is due no later than `limit`, and moves the clock to it.
    pub fn next_event(&mut self, limit: Time) -> Option<ScheduledEvent> {
        self.event_queue.pop_until(limit)
    }

    /// Zone of a gateway.
    pub fn gateway_zone(&self, gateway: usize) -> u32 {
        gateway as u32 % self.configuration.topology.zones
    }

    /// Delay between two zones.
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

    /// True if gateways have to poll for the endpoint list.
    pub fn discovery_is_polled(&self) -> bool {
        self.configuration.discovery.mode == DiscoveryMode::Poll
    }

    /// What the size of a request's messages depends on.
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
