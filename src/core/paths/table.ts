/**
 * What one VM can reach: for each runner whether the VM connects to it directly, only through
 * another VM, or not at all. That says nothing about the runner itself, which other VMs may reach.
 */

/** How a VM reaches a runner: by its own connections, by those of another VM, or not at all. */
export type Path = 'direct' | 'tunnel' | 'none';

/** A runner as a destination. */
export interface Destination {
  /** `HOST:PORT`. */
  readonly address: string;
  /** Id of the runner's instance; undefined if it is not known. */
  readonly id: string | undefined;
}

/** A runner that the VM does not reach directly. */
interface LostPath extends Destination {
  readonly since: number;
  /** Whether the runner was not reached through other VMs either. */
  isTunnelLost: boolean;
  /** Whether another VM tried to reach the runner and did not. */
  isConfirmed: boolean;
  /** When the runner was last reached through another VM. */
  forwardedAt: number;
  /** When it was first reached through another VM after the loss; undefined if it was not. */
  firstForwardedAt: number | undefined;
  /** Whether a direct connection failed that began after that. */
  isCutOff: boolean;
  probeAt: number;
  probeMs: number;
}

/** A lost path, for operators. */
export interface LostPathStatus {
  readonly address: string;
  readonly path: Path;
  readonly agoMs: number;
}

/** Maximum number of addresses whose last connections are kept: more than the largest fleet has runners. */
const MAX_CONNECTED = 10_000;
/** Time to the first probe of a lost path, in milliseconds. */
const FIRST_PROBE_MS = 500;
/** Maximum time between two probes, in milliseconds. */
const MAX_PROBE_MS = 2000;
/** Time for which a runner out of reach may be sound and go on, in milliseconds: one may be silent for two seconds. */
const SOUND_SILENCE_MS = 2500;
/** Share of the time between probes by which it varies, so that VMs that lost their paths together do not probe together. */
const PROBE_SPREAD = 0.5;

/** Sets the time of the next probe. */
function postpone(now: number, path: LostPath, random: number): void {
  const lost = path;
  lost.probeAt = now + lost.probeMs * (1 + PROBE_SPREAD * (random - 0.5));
}

/** The paths of one VM to runners. All are direct until a connection fails. */
export class PathTable {
  readonly #lost = new Map<string, LostPath>();

  /** When the last direct connection was established, by address, in this order. */
  readonly #connectedAt = new Map<string, number>();

  /** Whether any path is lost. */
  get hasLost(): boolean {
    return this.#lost.size > 0;
  }

  /** Addresses that this VM does not reach directly. */
  get lost(): readonly string[] {
    return [...this.#lost.keys()];
  }

  /** How this VM reaches an address. */
  pathTo(address: string): Path {
    const lost = this.#lost.get(address);
    if (!lost) return 'direct';
    return lost.isTunnelLost ? 'none' : 'tunnel';
  }

  /** When the direct path to an address was lost; undefined if it is not. */
  lostSince(address: string): number | undefined {
    return this.#lost.get(address)?.since;
  }

  /** Whether the direct path to an address was lost so lately that its runner may go on. */
  mayGoOn(now: number, address: string): boolean {
    return now - (this.lostSince(address) ?? -Infinity) < SOUND_SILENCE_MS;
  }

  /** Whether a direct connection to an address was established after a time. */
  connectedAfter(address: string, time: number): boolean {
    return (this.#connectedAt.get(address) ?? -Infinity) >= time;
  }

  /** Records a direct connection; returns for how long the path had been lost, in milliseconds, undefined if it was not. */
  recordConnected(now: number, address: string): number | undefined {
    this.#connectedAt.delete(address);
    this.#connectedAt.set(address, now);
    const [oldest] = this.#connectedAt.keys();
    if (this.#connectedAt.size > MAX_CONNECTED && oldest !== undefined) {
      this.#connectedAt.delete(oldest);
    }
    const since = this.lostSince(address);
    this.#lost.delete(address);
    return since === undefined ? undefined : now - since;
  }

  /**
   * Records that a direct connection failed; returns whether the path was not lost before.
   * @param beganAt when the connection began. Default: just now
   */
  recordLost(now: number, destination: Destination, random: number, beganAt = now): boolean {
    const known = this.#lost.get(destination.address);
    if (known) {
      known.isCutOff ||= beganAt >= (known.firstForwardedAt ?? Infinity);
      postpone(now, known, random);
      return false;
    }
    const lost: LostPath = {
      ...destination,
      since: now,
      isTunnelLost: false,
      isConfirmed: false,
      forwardedAt: -Infinity,
      firstForwardedAt: undefined,
      isCutOff: false,
      probeAt: 0,
      probeMs: FIRST_PROBE_MS,
    };
    postpone(now, lost, random);
    this.#lost.set(destination.address, lost);
    return true;
  }

  /** Records that a runner was reached through another VM; returns whether that is the first time since its path was lost. */
  recordForwarded(now: number, address: string): boolean {
    const lost = this.#lost.get(address);
    if (!lost) return false;
    const isFirst = lost.firstForwardedAt === undefined;
    lost.isTunnelLost = false;
    lost.forwardedAt = now;
    lost.firstForwardedAt ??= now;
    return isFirst;
  }

  /** Whether another VM reaches an address, and direct connections of this VM fail after that as well. */
  isCutOff(address: string): boolean {
    return this.#lost.get(address)?.isCutOff ?? false;
  }

  /**
   * Records that a runner was not reached through other VMs; returns whether that is new.
   * @param isConfirmed whether another VM tried to reach it; if none did, that says nothing of it
   */
  recordNotForwarded(address: string, isConfirmed: boolean): boolean {
    const lost = this.#lost.get(address);
    if (!lost) return false;
    const isNew = !lost.isTunnelLost;
    lost.isTunnelLost = true;
    lost.isConfirmed = isConfirmed;
    return isNew;
  }

  /** Whether neither this VM nor another one that tried reaches a runner. */
  isConfirmedLost(address: string): boolean {
    const { isTunnelLost = false, isConfirmed = false } = this.#lost.get(address) ?? {};
    return isTunnelLost && isConfirmed;
  }

  /** Whether a runner without a direct path was reached through another VM after a time. */
  forwardedAfter(address: string, time: number): boolean {
    return (this.#lost.get(address)?.forwardedAt ?? -Infinity) >= time;
  }

  /** Lost paths that are due to be probed, `most` at most; none of them is due again before its next time. */
  takeDue(now: number, most: number, random: () => number): readonly Destination[] {
    const due = [...this.#lost.values()].filter(({ probeAt }) => probeAt <= now);
    const taken = due.sort((a, b) => a.probeAt - b.probeAt).slice(0, most);
    for (const lost of taken) {
      lost.probeMs = Math.min(MAX_PROBE_MS, lost.probeMs * 2);
      postpone(now, lost, random());
    }
    return taken.map(({ address, id }) => ({ address, id }));
  }

  /** Makes all lost paths due: one of them is back, and the others probably are. */
  expedite(now: number): void {
    for (const lost of this.#lost.values()) {
      lost.probeAt = now;
      lost.probeMs = FIRST_PROBE_MS;
    }
  }

  /** Forgets paths to runners that are not listed any more or have been started anew. */
  retain(runners: readonly { readonly address: string; readonly id: string }[]): void {
    const ids = new Map(runners.map(({ address, id }) => [address, id]));
    for (const [address, { id }] of this.#lost) {
      const listed = ids.get(address);
      if (listed === undefined || (id !== undefined && id !== listed)) this.#lost.delete(address);
    }
  }

  /** The lost paths, for operators. */
  snapshot(now: number): readonly LostPathStatus[] {
    return [...this.#lost.values()].map(({ address, since }) => ({
      address,
      path: this.pathTo(address),
      agoMs: Math.round(now - since),
    }));
  }
}
