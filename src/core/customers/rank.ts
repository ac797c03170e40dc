/** Rank of a request among all others of its service; 0 is the most urgent. */

/** Number of priorities of routes that are told apart for each priority of customers. */
const ROUTE_PRIORITIES = 10;
/** The same for runners, which know ten priorities altogether. */
const RUNNER_ROUTE_PRIORITIES = 3;

/**
 * The priority of the customer takes precedence; requests of customers with the same priority are
 * ordered by that of their routes.
 * @param customer priority of the customer; undefined if it has none
 */
export function rankOf(customer: number | undefined, route: number): number {
  return (customer ?? 0) * ROUTE_PRIORITIES + Math.min(route, ROUTE_PRIORITIES - 1);
}

/** Priority of the customer of a request, 0 if it has none. */
export function customerPriorityOf(rank: number): number {
  return Math.floor(rank / ROUTE_PRIORITIES);
}

/** Priority that runners are told. */
export function runnerPriorityOf(rank: number): number {
  const route = Math.min(rank % ROUTE_PRIORITIES, RUNNER_ROUTE_PRIORITIES - 1);
  return customerPriorityOf(rank) * RUNNER_ROUTE_PRIORITIES + route;
}
