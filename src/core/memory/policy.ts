/**
 * The rules of a planner that were weighed against others, and their figures.
 * A planner is given them by whoever makes it, so that one of them can be
 * changed or left out without a change of the code that follows it. Figures of
 * the engine are not here: they are measured.
 */

import type { PeakEstimate } from './growth';
import { JointPeak } from './growth';
import type { QueueOrder } from './order';
import { FairOrder } from './order';

/** How decode memory is given out. */
export interface MemoryRules {
  /** Part of a runner's memory that is given out. */
  readonly reservableShare: number;
  /** Memory kept free for outputs that grow over their estimate, as a multiple of what they are usually off together. */
  readonly deviationFactor: number;
  /** What the requests of a runner count for. */
  readonly peak: PeakEstimate;
}

/** Prefills ahead of the memory for them. */
export interface AheadRules {
  /** Part of the time that a prefill is kept in which it may wait for memory. */
  readonly maxWaitShare: number;
  /** Part of the requests that should end by then for which prefills may start; 0 for none. */
  readonly endingShare: number;
}

/** Who of the waiting requests goes first. */
export interface OrderRules {
  /** Part of a decode runner's memory that a request leaves free which is late anyway. */
  readonly lateFreeShare: number;
  /** Who of those that can meet their aim goes first; for one planner. */
  readonly createOrder: () => QueueOrder;
}

/** Who is refused, and when they may come back. */
export interface RefusalRules {
  /** Part of the estimated wait that must fit before the caller of a last try leaves. */
  readonly lastAttemptFactor: number;
  /** Shortest Retry-After, in milliseconds. */
  readonly minMs: number;
  /** Longest Retry-After, in milliseconds. */
  readonly maxMs: number;
  /** Longest step between the times of two refused callers, in milliseconds. */
  readonly maxStepMs: number;
}

/** Where prompts are read. */
export interface PrefillRules {
  /** By how much a prefill in another failure domain may be sooner and still not be preferred, in milliseconds. */
  readonly crossDomainMs: number;
  /** Prompts that may wait at a prefill runner, in milliseconds of its work. */
  readonly backlogLimitMs: number;
  /** Part of a decode runner's memory that must stay free beside a prompt that it reads itself; 1 if none may. */
  readonly localFreeShare: number;
  /** Part of the longest pause of an answer that it may come to by a decode runner's own reading. */
  readonly localPauseShare: number;
}

/** How many runners prefill and how many decode. */
export interface StageRules {
  /** Prefill capacity kept beyond the need, as a part. */
  readonly headroom: number;
  /** By how much a change must raise the requests served, as a part; infinite if none is ordered. */
  readonly minGain: number;
  /** Rates that differ by less than this part count as the same. */
  readonly tieTolerance: number;
  /** Time for which the number of runners must be the same, in milliseconds. */
  readonly steadyMs: number;
  /** Time for which an excess of prefill runners must last that the return of lost ones would end, in milliseconds. */
  readonly excessMs: number;
  /** Time for which a lack of prefill runners must last, in milliseconds. */
  readonly shortageMs: number;
}

/** How long failures keep work off a runner. */
export interface EjectionRules {
  /** Time without work after the first failure, in milliseconds; doubles with each further one. */
  readonly firstMs: number;
  /** Longest time without work, in milliseconds: then one request tries again. */
  readonly maxMs: number;
  /** What a good end leaves of the strikes. */
  readonly successFactor: number;
  /** Most runners of a stage that may be without work at once, as a part. */
  readonly maxEjectedShare: number;
}

/** How outputs are estimated. */
export interface LengthRules {
  /** Weights of the caller's own guess that are weighed against each other. */
  readonly hintWeights: readonly number[];
}

/** How a planner begins that may lack a part of the account. */
export interface WarmUpRules {
  /** Time in which all VMs should have told what they hold, in milliseconds. */
  readonly durationMs: number;
  /** Part of a decode runner's memory that must be free by the account for it to get work until then. */
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
  // The rest covers requests on their way and rounding to blocks.
  reservableShare: 0.99,
  // A fixed part of 3 % was right where an output is a tenth of its request; where it is half of it,
  // requests were pushed out and read again, and their answers paused: with this margin the worth of
  // bursts on stand-in engines of that kind is 0.84, with the part 0.73.
  deviationFactor: 1.5,
  peak: new JointPeak(),
};

const ahead: AheadRules = {
  // The rest covers messages and the move.
  maxWaitShare: 0.6,
  // Without it memory lies idle for the time of each prefill, some 7 % of it. Ends are only expected,
  // so it is far below all of them.
  endingShare: 0.25,
};

const order: OrderRules = {
  // A late request holds its memory as long as one in time: given the last room, late ones make those
  // late that come next. In an overload by a third this and their last place in the queue raise the
  // requests served in time from 72 to 85 % of all.
  lateFreeShare: 0.1,
  createOrder: () => new FairOrder(),
};

const refusal: RefusalRules = {
  // Estimates of waits vary by half.
  lastAttemptFactor: 0.5,
  minMs: 300,
  maxMs: 4500,
  // In a heavy burst the times go round instead of reaching beyond what callers wait.
  maxStepMs: 230,
};

const reading: PrefillRules = {
  crossDomainMs: 20,
  // Enough that a prefill runner never idles.
  backlogLimitMs: 120,
  localFreeShare: 0.15,
  localPauseShare: 0.75,
};

const stages: StageRules = {
  // A burst of prompts comes first to the prefill runners.
  headroom: 1.2,
  // A change takes a runner away for some ten seconds; one that was ordered for less, right before a
  // burst, left a quarter of the decode memory unused while requests were refused.
  minGain: 0.1,
  // Rates are measured, and count on decode runners to read what prefill runners cannot. With 0.03 six
  // runners were left with one that prefills, which bound in each burst: the worth of a day with
  // trouble fell from 0.77 to 0.66.
  tieTolerance: 0.08,
  // Runners register one after the other.
  steadyMs: 2500,
  // Lost runners are usually back sooner than a change takes.
  excessMs: 9000,
  // A lack of prefill runners costs more.
  shortageMs: 4000,
};

const trust: EjectionRules = {
  firstMs: 400,
  maxMs: 6000,
  successFactor: 0.5,
  // What fails everywhere is not the runners' fault.
  maxEjectedShare: 0.5,
};

const lengths: LengthRules = { hintWeights: [0, 0.25, 0.5, 0.75, 1] };

const caution: WarmUpRules = { durationMs: 500, minFreeShare: 0.5 };

/** The rules in force. */
export const planPolicy: PlanPolicy = {
  memory,
  ahead,
  order,
  refusal,
  prefill: reading,
  stages,
  ejection: trust,
  lengths,
  warmUp: caution,
};
