/**
 * The rules of a planner that were weighed against others, and their figures.
 * A planner is given them by whoever makes it, so that one of them can be
 * changed or left out without a change of the code that follows it. Figures of
 * the engine are not here: they are measured.
 */

import type { PeakEstimate } from './growth';
import { ComingPeak } from './growth';
import type { Turns } from './turns';
import { FairTurns } from './turns';

/** How decode memory is given out. */
export interface MemoryRules {
  /** Part of a runner's memory that is given out. */
  readonly fill: number;
  /** Memory kept free for outputs that grow over their estimate, as a multiple of what they are usually off together. */
  readonly deviations: number;
  /** What the requests of a runner count for. */
  readonly peak: PeakEstimate;
}

/** Prefills ahead of the memory for them. */
export interface AheadRules {
  /** Part of the time that a prefill is kept in which it may wait for memory. */
  readonly keepPart: number;
  /** Part of the requests that should end by then for which prefills may start; 0 for none. */
  readonly part: number;
}

/** Who of the waiting requests goes first. */
export interface OrderRules {
  /** Part of a decode runner's memory that a request leaves free which is late anyway. */
  readonly lateSpare: number;
  /** Who of those that can meet their aim goes first; for one planner. */
  readonly turns: () => Turns;
}

/** Who is refused, and when they may come back. */
export interface RefusalRules {
  /** Part of the estimated wait that must fit before the caller of a last try leaves. */
  readonly lastTryDoubt: number;
  /** Shortest Retry-After, in milliseconds. */
  readonly leastMs: number;
  /** Longest Retry-After, in milliseconds. */
  readonly mostMs: number;
  /** Longest step between the times of two refused callers, in milliseconds. */
  readonly stepMs: number;
}

/** Where prompts are read. */
export interface ReadingRules {
  /** By how much a prefill in another failure domain may be sooner and still not be preferred, in milliseconds. */
  readonly farMs: number;
  /** Prompts that may wait at a prefill runner, in milliseconds of its work. */
  readonly backlogLimitMs: number;
  /** Part of a decode runner's memory that must stay free beside a prompt that it reads itself; 1 if none may. */
  readonly directSpare: number;
  /** Part of the longest pause of an answer that it may come to by a decode runner's own reading. */
  readonly pausePart: number;
}

/** How many runners prefill and how many decode. */
export interface StageRules {
  /** Prefill capacity kept beyond the need, as a part. */
  readonly headroom: number;
  /** By how much a change must raise the requests served, as a part; infinite if none is ordered. */
  readonly leastGain: number;
  /** Rates that differ by less than this part count as the same. */
  readonly tiePart: number;
  /** Time for which the number of runners must be the same, in milliseconds. */
  readonly steadyMs: number;
  /** Time for which an excess of prefill runners must last that the return of lost ones would end, in milliseconds. */
  readonly excessMs: number;
  /** Time for which a lack of prefill runners must last, in milliseconds. */
  readonly lackMs: number;
}

/** How long failures keep work off a runner. */
export interface TrustRules {
  /** Time without work after the first failure, in milliseconds; doubles with each further one. */
  readonly firstMs: number;
  /** Longest time without work, in milliseconds: then one request tries again. */
  readonly limitMs: number;
  /** What a good end leaves of the strikes. */
  readonly goodEnd: number;
  /** Most runners of a stage that may be without work at once, as a part. */
  readonly distrustedPart: number;
}

/** How outputs are estimated. */
export interface LengthRules {
  /** Weights of the caller's own guess that are weighed against each other. */
  readonly hintWeights: readonly number[];
}

/** How a planner begins that may lack a part of the account. */
export interface CautionRules {
  /** Time in which all VMs should have told what they hold, in milliseconds. */
  readonly ms: number;
  /** Part of a decode runner's memory that must be free by the account for it to get work until then. */
  readonly freePart: number;
}

/** All rules of one planner. */
export interface PlanPolicy {
  readonly memory: MemoryRules;
  readonly ahead: AheadRules;
  readonly order: OrderRules;
  readonly refusal: RefusalRules;
  readonly reading: ReadingRules;
  readonly stages: StageRules;
  readonly trust: TrustRules;
  readonly lengths: LengthRules;
  readonly caution: CautionRules;
}

const memory: MemoryRules = {
  // The rest covers requests on their way and rounding to blocks.
  fill: 0.99,
  // A fixed part of 3 % was right where an output is a tenth of its request; where it is half of it,
  // requests were pushed out and read again, and their answers paused: with this margin the worth of
  // bursts on stand-in engines of that kind is 0.84, with the part 0.73.
  deviations: 1.5,
  peak: new ComingPeak(),
};

const ahead: AheadRules = {
  // The rest covers messages and the move.
  keepPart: 0.6,
  // Without it memory lies idle for the time of each prefill, some 7 % of it. Ends are only expected,
  // so it is far below all of them.
  part: 0.25,
};

const order: OrderRules = {
  // A late request holds its memory as long as one in time: given the last room, late ones make those
  // late that come next. In an overload by a third this and their last place in the queue raise the
  // requests served in time from 72 to 85 % of all.
  lateSpare: 0.1,
  turns: () => new FairTurns(),
};

const refusal: RefusalRules = {
  // Estimates of waits vary by half.
  lastTryDoubt: 0.5,
  leastMs: 300,
  mostMs: 4500,
  // In a heavy burst the times go round instead of reaching beyond what callers wait.
  stepMs: 230,
};

const reading: ReadingRules = {
  farMs: 20,
  // Enough that a prefill runner never idles.
  backlogLimitMs: 120,
  directSpare: 0.15,
  pausePart: 0.75,
};

const stages: StageRules = {
  // A burst of prompts comes first to the prefill runners.
  headroom: 1.2,
  // A change takes a runner away for some ten seconds; one that was ordered for less, right before a
  // burst, left a quarter of the decode memory unused while requests were refused.
  leastGain: 0.1,
  // Rates are measured, and count on decode runners to read what prefill runners cannot. With 0.03 six
  // runners were left with one that prefills, which bound in each burst: the worth of a day with
  // trouble fell from 0.77 to 0.66.
  tiePart: 0.08,
  // Runners register one after the other.
  steadyMs: 2500,
  // Lost runners are usually back sooner than a change takes.
  excessMs: 9000,
  // A lack of prefill runners costs more.
  lackMs: 4000,
};

const trust: TrustRules = {
  firstMs: 400,
  limitMs: 6000,
  goodEnd: 0.5,
  // What fails everywhere is not the runners' fault.
  distrustedPart: 0.5,
};

const lengths: LengthRules = { hintWeights: [0, 0.25, 0.5, 0.75, 1] };

const caution: CautionRules = { ms: 500, freePart: 0.5 };

/** The rules in force. */
export const planPolicy: PlanPolicy = {
  memory,
  ahead,
  order,
  refusal,
  reading,
  stages,
  trust,
  lengths,
  caution,
};
