/** Creates the budget of incomplete events of an entry, with its metrics. */
import type { Metrics } from '../observability/metrics.js';
import { EventBudget } from '../systems/event-budget.js';

export function createEventBudget(metrics: Metrics): EventBudget {
  const budget = new EventBudget();
  metrics.add([
    {
      name: 'incomplete_event_bytes',
      help: 'Bytes held of events of which the end has not arrived',
      read: () => budget.held,
    },
    {
      name: 'events_too_long',
      help: 'Answers since the start that were given up as broken because an event was longer than may be held',
      read: () => budget.exceeded,
    },
  ]);
  return budget;
}
