/**
 * Tunable rules of a planner and their values. They are passed to the planner, so that a rule can
 * be changed or left out without a change of the code that applies it. Times of the engine are not
 * here: they are measured at run time.
 */

import type { PeakEstimate } from './growth';
import { JointPeak } from './growth';
import type { QueueOrder } from './order';
import { FairOrder } from './order';

/** How decode memory is reserved. */
export interface MemoryRules {
  /** Share of a runner's memory that may be reserved. */
  readonly reservableShare: number;
  /**
   * Memory kept free for outputs that exceed their estimate, as a multiple of the usual error of
   * the summed estimates.
   */
  readonly deviationFactor: number;
  /** Estimates the peak memory of a runner's requests. */
  readonly peak: PeakEstimate;
}

/** Prefills that start before decode memory is free for them. */
export interface AheadRules {
  /** Share of the time that a finished prefill is kept for which it may wait for memory. */
  readonly maxWaitShare: number;
  /** Share of the requests expected to end by then for which prefills may start; 0 for none. */
  readonly endingShare: number;
}

/** Scheduling order of the waiting requests. */
export interface OrderRules {
  /** Share of a decode runner's memory that a late request must leave free. */
  readonly lateFreeShare: number;
  /**
   * Share of the memory started for a rank that each less urgent rank gets as well while it waits.
   */
  readonly lessUrgentShare: number;
  /** The same for all less urgent ranks together. */
  readonly maxLessUrgentShare: number;
  /** In each rank, one of this number of starts is chosen by age instead of size. */
  readonly startsPerAged: number;
  /** Creates the order of the requests that can still meet their deadline; one for each planner. */
  readonly createOrder: () => QueueOrder;
}

/** Which requests are refused, and when their callers may retry. */
export interface RefusalRules {
  /**
   * Factor on the estimated wait of a last attempt for capacity left over, before it is compared with
   * the time until the caller disconnects.
   */
  readonly lastAttemptFactor: number;
  /** Shortest Retry-After, in milliseconds. */
  readonly minMs: number;
  /** Longest Retry-After, in milliseconds. */
  readonly maxMs: number;
  /** Longest step between the retry times of two refused callers, in milliseconds. */
  readonly maxStepMs: number;
}

/** Where prompts are prefilled. */
export interface PrefillRules {
  /** Time added to the cost of a prefill in another failure domain, in milliseconds. */
  readonly crossDomainMs: number;
  /** Largest backlog at which a prefill runner still gets prompts, in milliseconds of its work. */
  readonly backlogLimitMs: number;
  /** The same for requests that are less urgent than others of their service. */
  readonly yieldingBacklogLimitMs: number;
  /**
   * Share of a decode runner's memory that must stay free in addition to a local prefill; 1 disables local
   * prefills.
   */
  readonly localFreeShare: number;
  /**
   * Share of the allowed pause between events that a local prefill may cause in the other streams.
   */
  readonly localPauseShare: number;
}

/** How many runners prefill and how many decode. */
export interface StageRules {
  /** Factor by which prefill capacity exceeds the need. */
  readonly headroom: number;
  /**
   * Smallest gain in served requests that justifies a stage change, as a share; infinite disables
   * changes.
   */
  readonly minGain: number;
  /** Rates that differ by less than this share count as equal. */
  readonly tieTolerance: number;
  /** Time for which the number of runners must have been constant, in milliseconds. */
  readonly steadyMs: number;
  /**
   * Time for which an excess of prefill runners must last if the return of lost runners would end
   * it, in milliseconds.
   */
  readonly excessMs: number;
  /** Time for which a shortage of prefill runners must last, in milliseconds. */
  readonly shortageMs: number;
}

/** How long failing runners are ejected. */
export interface EjectionRules {
  /** Ejection time after the first failure, in milliseconds; doubles with each further one. */
  readonly firstMs: number;
  /** Longest ejection time, in milliseconds; after it, a request tries the runner again. */
  readonly maxMs: number;
  /** Factor on the failure score with each success. */
  readonly successFactor: number;
  /** Largest share of a stage's runners that may be ejected at once. */
  readonly maxEjectedShare: number;
  /** Time after which a runner that did not answer a check is checked again, in milliseconds. */
  readonly recheckMs: number;
}

/** How output lengths are estimated. */
export interface LengthRules {
  /** Weights of the caller's length hint; the one with the smallest error is used. */
  readonly hintWeights: readonly number[];
}

/** Warm-up of a planner whose account may be incomplete after taking over. */
export interface WarmUpRules {
  /** Time in which all VMs should have reported their reservations, in milliseconds. */
  readonly durationMs: number;
  /** Share of a decode runner's memory that must be free for it to get work during the warm-up. */
  readonly minFreeShare: number;
}

/** All rules of one planner. */
export interface PlanPolicy {
  readonly memory: MemoryRules;
  readonly ahead: AheadRules;
  readonly order: OrderRules;
  readonly refusal: RefusalRules;
  readonly prefill: PrefillRules;
  readonly stages: StageRules;
  readonly ejection: EjectionRules;
  readonly lengths: LengthRules;
  readonly warmUp: WarmUpRules;
}

const memory: MemoryRules = {
  // The rest covers requests in transit and rounding to blocks.
  reservableShare: 0.99,
  // A fixed share of 3 % fits outputs that are a tenth of their request. Where an output is half of
  // it, requests were preempted and prefilled again, and their answers paused: in bursts on stand-in
  // engines of that kind, the value served is 0.84 of the value requested with this margin and 0.73
  // with the fixed share.
  deviationFactor: 1.5,
  peak: new JointPeak(),
};

const ahead: AheadRules = {
  // The rest covers messages and the transfer of the KV cache.
  maxWaitShare: 0.6,
  // Without prefills ahead of memory, some 7 % of the memory idles while prefills run. Ends are
  // only estimated, so the share is far below 1.
  endingShare: 0.25,
};

const order: OrderRules = {
  // A late request holds its memory as long as one in time, and using the last free memory for it
  // delays the requests that follow. In an overload by a third, this reserve and their last place
  // in the queue raise the share of requests served in time from 72 to 85 %.
  lateFreeShare: 0.1,
  lessUrgentShare: 0.1,
  maxLessUrgentShare: 0.2,
  startsPerAged: 4,
  createOrder: () => new FairOrder(),
};

const refusal: RefusalRules = {
  // Estimates of waits vary by half, and the capacity left over is estimated from first attempts that
  // are refused in part. With 0, callers that are refused for good wait more than 3.5 s.
  lastAttemptFactor: 0.5,
  minMs: 300,
  maxMs: 4500,
  // In a heavy burst the retry times wrap around instead of exceeding the time that callers wait.
  maxStepMs: 230,
};

const prefill: PrefillRules = {
  crossDomainMs: 20,
  // Large enough that a prefill runner never idles.
  backlogLimitMs: 120,
  // A prompt that has been sent cannot be overtaken by a more urgent one.
  yieldingBacklogLimitMs: 40,
  localFreeShare: 0.15,
  localPauseShare: 0.75,
};

const stages: StageRules = {
  // A burst of prompts reaches the prefill runners first.
  headroom: 1.2,
  // A change takes a runner out of service for some ten seconds. One made for a smaller gain right
  // before a burst left a quarter of the decode memory unused while requests were refused.
  minGain: 0.1,
  // Rates derive from measurements and assume that decode runners prefill what prefill runners
  // cannot. With 0.03, six runners were left with one prefill runner, the bottleneck in each burst:
  // on a day with faults, the value served fell from 0.77 to 0.66 of the value requested.
  tieTolerance: 0.08,
  // Runners register one after the other.
  steadyMs: 2500,
  // Lost runners usually return sooner than a change takes.
  excessMs: 9000,
  // A shortage of prefill runners costs more than an excess.
  shortageMs: 4000,
};

const ejection: EjectionRules = {
  firstMs: 400,
  maxMs: 6000,
  successFactor: 0.5,
  // A failure that affects most runners is not caused by the runners.
  maxEjectedShare: 0.5,
  // A runner that restarts is used again soon, and a lost one costs two small calls a second.
  recheckMs: 500,
};

const lengths: LengthRules = { hintWeights: [0, 0.25, 0.5, 0.75, 1] };

const warmUp: WarmUpRules = { durationMs: 500, minFreeShare: 0.5 };

/** The policy in use. */
export const planPolicy: PlanPolicy = {
  memory,
  ahead,
  order,
  refusal,
  prefill,
  stages,
  ejection,
  lengths,
  warmUp,
};
