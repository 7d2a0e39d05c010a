import { Command, Option } from 'clipanion';
import { enableLogs } from '../adapters/logs/Log.js';
import {
  DEMO_KEYS,
  DEMO_PIPELINE,
  DEMO_SERVICE,
  DemoFleet,
  OPERATOR_TOKEN,
  type FleetEntry,
} from '../fakes/DemoFleet.js';
import { waitForStopSignal } from './DaemonCommands.js';
import { DemoRun, type DemoReport } from './DemoRun.js';
import { table } from './Table.js';

const REQUESTS = 240;

function hasPassed(report: DemoReport): boolean {
  return (
    report.complete === report.requests &&
    report.broken + report.layerViolations + report.doubleRuns === 0
  );
}

export class DemoCommand extends Command {
  public static override paths = [['demo']];

  public static override usage = Command.Usage({
    description: 'Runs a whole fleet in one process on loopback and prints curl commands for it.',
    examples: [
      ['Serve until Ctrl-C', 'acaciadrum demo'],
      ['Send mixed requests, print one JSON object and exit', 'acaciadrum demo --once --json'],
    ],
  });

  public once = Option.Boolean('--once', false, { description: 'Send mixed requests and exit.' });

  public json = Option.Boolean('--json', false, { description: 'Print JSON for programs.' });

  public async execute(): Promise<number> {
    if (!this.once) enableLogs();
    const fleet = await DemoFleet.start();
    try {
      if (this.once) return await this.sendOnce(fleet);
      this.context.stdout.write(guide(fleet.entries[0]));
      await waitForStopSignal();
      await Promise.all(fleet.entries.map(({ entry }) => entry.stop()));
      return 0;
    } finally {
      await fleet.close();
    }
  }

  private async sendOnce(fleet: DemoFleet): Promise<number> {
    const report = await new DemoRun(fleet).send(REQUESTS);
    const rows = Object.entries(report).map(([name, value]) => [name, JSON.stringify(value)]);
    this.context.stdout.write(
      this.json ? `${JSON.stringify(report)}\n` : table(['RESULT', 'VALUE'], rows),
    );
    return hasPassed(report) ? 0 : 1;
  }
}

function guide({ addresses }: FleetEntry): string {
  const auth = `-H 'Authorization: Bearer ${DEMO_KEYS.workshop}' -H 'Content-Type: application/json'`;
  const url = `http://${addresses.callers}`;
  return `The demo fleet is running. Try:

  curl -N ${url}/v1/completions ${auth} \\
    -d '{"model":"${DEMO_PIPELINE}","prompt":"Glue frame 7","max_tokens":12,"stream":true}'

  curl ${url}/v1/chat/completions ${auth} \\
    -d '{"model":"${DEMO_PIPELINE}","max_tokens":12,"messages":[{"role":"user","content":"When does frame 7 cure?"}]}'

  curl -i ${url}/services/${DEMO_SERVICE}/bookings ${auth} -H 'Idempotency-Key: resin-1' -d '{"resin":2}'

Operators:

  export ACACIADRUM_SERVER=${addresses.operators} ACACIADRUM_TOKEN=${OPERATOR_TOKEN}
  npx acaciadrum ticket status
  npx acaciadrum ticket explain Pipeline ${DEMO_PIPELINE}

Stop with Ctrl-C.
`;
}
