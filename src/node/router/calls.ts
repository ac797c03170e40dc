/** What VMs ask of each other: places, holdings, and what each knows. */

import type { Logger } from 'pino';
import { z } from 'zod';

import { Failure, toFailure } from '../../core/failure';
import type { RouterFleet } from './fleet';
import type { Knowledge } from './knowledge';
import type { PlanHost } from './owner';
import type { Places } from './places';
import type { factsSchema } from './plans';
import { askSchema, gatherSchema, holdSchema, noteSchema, pushSchema, readySchema } from './plans';

/** What the calls reach. */
export interface PeerContext {
  readonly vm: string;
  readonly fleet: RouterFleet;
  readonly host: PlanHost;
  readonly places: Places;
  readonly knowledge: Knowledge;
  readonly log: Logger;
}

/** Calls back to the VM that called. */
export type Push = (method: string, params: unknown) => void;

/** Time limit of asking a VM for its holdings, in milliseconds: they are of use for as long as the owner is cautious. */
const GATHER_LIMIT_MS = 1000;

/** Answers the calls of other VMs. */
export class PeerCalls {
  readonly #context: PeerContext;

  constructor(context: PeerContext) {
    this.#context = context;
  }

  /** Rejects with `peerRejected` if there is no such call. */
  async answer(vm: string, method: string, params: unknown, push: Push): Promise<unknown> {
    const { host, places } = this.#context;
    const now = performance.now();
    const sink = (service: string, verdict: unknown): void => push('verdict', { service, verdict });
    if (method === 'ask') return host.ask(now, vm, askSchema.parse(params), sink);
    if (method === 'ready') return host.ready(now, vm, readySchema.parse(params), sink);
    if (method === 'facts') return this.#facts(params);
    if (method === 'note') host.note(now, vm, noteSchema.parse(params));
    else if (method === 'hold') host.hold(now, vm, holdSchema.parse(params));
    else if (method === 'gather') this.#tell(now, vm, gatherSchema.parse(params).service);
    else if (method === 'verdict') {
      const { service, verdict } = pushSchema.parse(params);
      places.onVerdict(service, verdict);
    } else throw new Failure('peerRejected', `found call ${method}, expected a known one`);
    return null;
  }

  /** Has every VM tell what it holds of a service. */
  gather(service: string): void {
    const { fleet, vm: self, log } = this.#context;
    for (const { vm, address } of fleet.alive) {
      if (vm === self) this.#tell(performance.now(), self, service);
      else {
        fleet.call(address, 'gather', { service }, GATHER_LIMIT_MS).catch((error) => {
          log.debug({ vm }, toFailure(error).line);
        });
      }
    }
  }

  #tell(now: number, vm: string, service: string): void {
    const { fleet, places } = this.#context;
    const owner = fleet.all.find((member) => member.vm === vm);
    if (owner) places.tell(now, service, owner);
  }

  #facts(params: unknown): z.infer<typeof factsSchema> {
    const { configVersion } = z.object({ configVersion: z.number() }).parse(params);
    const { rawConfig, facts, configVersion: own } = this.#context.knowledge;
    return {
      config: configVersion < own ? rawConfig : '',
      runners: facts.map(({ id, revision, runner }) =>
        runner ? { id, revision, runner } : { id, revision },
      ),
    };
  }
}
