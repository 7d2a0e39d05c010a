import { Failure, FailureKind } from '../../core/Failure.js';
import type { PeerLink, PeerService } from '../../ports/Peer.js';
import type { SoakHost } from './SoakHost.js';
import type { SoakEnvironment } from './SoakEnvironment.js';

const LATENCY_MS = 1;
const TIMEOUT_MS = 1000;
const FORWARD_TIMEOUT_MS = 5000;

/**
 * The peer link of one host. Exchanges, handed-over keys and all answers are copied. An answer may be
 * lost after the peer has acted on the message, so that a message sent again may take effect twice;
 * across a cut link, messages are lost too.
 */
export class SoakPeerLink implements PeerLink {
  public constructor(
    private readonly environment: SoakEnvironment,
    private readonly host: SoakHost,
  ) {}

  public exchange: PeerLink['exchange'] = (address, message) =>
    this.send(address, TIMEOUT_MS, (peer) => peer.exchange(structuredClone(message)));

  public snapshot: PeerLink['snapshot'] = (address) =>
    this.send(address, TIMEOUT_MS, (peer) => peer.snapshot());

  public isRunning: PeerLink['isRunning'] = (address, attempt) =>
    this.send(address, TIMEOUT_MS, (peer) => peer.isRunning(attempt));

  public forward: PeerLink['forward'] = (address, call) =>
    this.send(address, FORWARD_TIMEOUT_MS, (peer) => peer.forward(call));

  public handOver: PeerLink['handOver'] = (address, keys) =>
    this.send(address, TIMEOUT_MS, (peer) => peer.handOver(structuredClone(keys)));

  private send<T>(
    address: string,
    timeoutMs: number,
    action: (peer: PeerService) => T | Promise<T>,
  ): Promise<T> {
    const { clock, random } = this.environment;
    return this.host.call(LATENCY_MS, async () => {
      const timeOut = clock.sleep(timeoutMs).then(() => {
        throw new Failure(FailureKind.PeerUnavailable, 'No answer in time.');
      });
      return Promise.race([
        timeOut,
        this.deliver(address, action, random.chance(this.environment.peerLossProbability)),
      ]);
    });
  }

  private async deliver<T>(
    address: string,
    action: (peer: PeerService) => T | Promise<T>,
    lost: boolean,
  ): Promise<T> {
    const peer = this.environment.instanceAt(address);
    if (peer === undefined) throw new Failure(FailureKind.PeerUnavailable, 'Connection refused.');
    const reaches = () =>
      this.environment.network.reaches(this.host.failureDomain, peer.host.failureDomain);
    if (!reaches()) await new Promise<never>(() => {});
    await peer.host.waitUntilRunning();
    const answer = structuredClone(await action(peer.core));
    await peer.host.waitUntilRunning();
    if (lost || !reaches()) await new Promise<never>(() => {});
    return answer;
  }
}
