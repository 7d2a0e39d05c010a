import { Failure, FailureKind } from '../../core/Failure.js';
import type {
  PlainCall,
  PlainResponse,
  PlainTransport,
} from '../../core/requests/PlainTransport.js';
import type { SoakHost } from './SoakHost.js';
import type { SoakEnvironment } from './SoakEnvironment.js';

const LATENCY_MS = 1;
const CONNECT_TIMEOUT_MS = 500;
const RUN_MS = 5;
const RESET_MS = 20;

/** Header that names one logical call over all its retries. */
export const CALL_HEADER = 'x-call';

/** Header that names one try of a caller; the router may make several attempts for it. */
export const ATTEMPT_HEADER = 'x-attempt';

async function* streamText(text: string): AsyncGenerator<Uint8Array> {
  yield Buffer.from(text);
}

/** Client of the plain services for one host; pauses and network cuts of the host affect its calls. */
export class SoakPlainTransport implements PlainTransport {
  public constructor(
    private readonly environment: SoakEnvironment,
    private readonly host: SoakHost,
  ) {}

  public send(address: string, call: PlainCall): Promise<PlainResponse> {
    return this.host.call(LATENCY_MS, () => this.run(address, call));
  }

  private async run(address: string, call: PlainCall): Promise<PlainResponse> {
    const { environment } = this;
    const server = environment.server(address);
    if (!environment.network.reaches(this.host.failureDomain, server.failureDomain)) {
      await environment.clock.sleep(CONNECT_TIMEOUT_MS);
      throw new Failure(FailureKind.NotConnected, 'No connection.');
    }
    if (!server.alive) throw new Failure(FailureKind.NotConnected, 'Connection refused.');
    if (server.sequences.leaving)
      return { status: 503, headers: {}, body: streamText(''), notRun: true };
    const isReset = environment.random.chance(server.resetProbability);
    if (isReset && environment.random.chance(0.5)) return this.failConnection();
    if (!(await server.waitUntilThawed())) return this.failConnection();
    environment.recordPlainRun(
      String(call.headers[CALL_HEADER]),
      String(call.headers[ATTEMPT_HEADER]),
    );
    await environment.clock.sleep(RUN_MS);
    if (isReset || !server.alive) return this.failConnection();
    if (!environment.network.reaches(this.host.failureDomain, server.failureDomain)) {
      await environment.clock.sleep(call.timeoutMs);
      return this.failConnection();
    }
    return {
      status: 200,
      headers: {},
      body: streamText(`ran ${String(call.headers[CALL_HEADER])}`),
      notRun: false,
    };
  }

  private async failConnection(): Promise<never> {
    await this.environment.clock.sleep(RESET_MS);
    throw new Failure(FailureKind.ConnectionLost, 'The connection was reset.');
  }
}
