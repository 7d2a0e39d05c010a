/** Commands that run the benchmarks. */
import { Command, Option } from 'clipanion';
import { FleetProfile } from '../../bench/Fleet.js';
import { Policy } from '../../bench/Policies.js';
import { runLimitsBench } from '../../bench/Limits.js';
import { runRecoveryBench } from '../../bench/Recovery.js';
import { FULL_PLAN, runThroughputBench } from '../../bench/Throughput.js';
import { runControlBench } from '../../bench/Control.js';
import { table } from './Table.js';

const parseNumbers = (text: string): number[] => text.split(',').map(Number);

/**
 * Parses a comma-separated list and drops items that are not among `choices`.
 * @throws Error that names the choices if no item is known
 */
function parseChoices<T extends string>(text: string, choices: readonly T[]): T[] {
  const chosen = text
    .split(',')
    .filter((word): word is T => (choices as readonly string[]).includes(word));
  if (chosen.length === 0)
    throw new Error(`No item of the list is known. Choose from ${choices.join(', ')}.`);
  return chosen;
}

abstract class BenchCommand extends Command {
  public json = Option.Boolean('--json', false, { description: 'Print JSON for programs.' });

  public async execute(): Promise<number> {
    try {
      this.printRows(await this.measure());
      return 0;
    } catch (error) {
      this.context.stderr.write(`${(error as Error).message}\n`);
      return 1;
    }
  }

  protected abstract measure(): Promise<readonly object[]>;

  private printRows(rows: readonly object[]): void {
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify(rows)}\n`);
      return;
    }
    const headings = Object.keys(rows[0] ?? {});
    this.context.stdout.write(
      table(
        headings,
        rows.map((row) => Object.values(row) as (string | number)[]),
      ),
    );
  }
}

export class BenchThroughputCommand extends BenchCommand {
  public static override paths = [['bench', 'throughput']];

  public static override usage = Command.Usage({
    description:
      'Measures goodput (tokens of answers that were whole by their deadline) as a share of the maximum throughput of the fleet, by policy and load, in virtual time.',
    examples: [
      ['All policies', 'acaciadrum bench throughput'],
      ['One load', 'acaciadrum bench throughput --loads 1 --seeds 1'],
    ],
  });

  public users = Option.String('--users', FULL_PLAN.profiles.join(','), {
    description: 'Kinds of fleet, separated by commas: shamshyrak, vaku-paris.',
  });

  public policies = Option.String('--policies', FULL_PLAN.policies.join(','), {
    description: 'Route policies.',
  });

  public loads = Option.String('--loads', FULL_PLAN.loads.join(','), {
    description: 'Offered loads, as multiples of the maximum throughput of the fleet.',
  });

  public seeds = Option.String('--seeds', FULL_PLAN.seeds.join(','), {
    description: 'Seeds of fleets and load.',
  });

  protected measure(): Promise<readonly object[]> {
    return runThroughputBench({
      profiles: parseChoices(this.users, Object.values(FleetProfile)),
      policies: parseChoices(this.policies, Object.values(Policy)),
      loads: parseNumbers(this.loads),
      seeds: parseNumbers(this.seeds),
    });
  }
}

export class BenchRecoveryCommand extends BenchCommand {
  public static override paths = [['bench', 'recovery']];

  public static override usage = Command.Usage({
    description:
      'Measures the time from a fault to the next token of the affected streams, and until the token rate is back at 95% of its level before the fault, in virtual time.',
    examples: [['All faults', 'acaciadrum bench recovery --seeds 1,2,3']],
  });

  public users = Option.String('--users', Object.values(FleetProfile).join(','), {
    description: 'Kinds of fleet, separated by commas: shamshyrak, vaku-paris.',
  });

  public seeds = Option.String('--seeds', '1,2,3', { description: 'Seeds of fleets and load.' });

  public servers = Option.String('--servers', '1', {
    description: 'Number of servers that fail at the same time.',
  });

  protected measure(): Promise<readonly object[]> {
    return runRecoveryBench(
      parseChoices(this.users, Object.values(FleetProfile)),
      parseNumbers(this.seeds),
      Number(this.servers),
    );
  }
}

export class BenchLimitsCommand extends BenchCommand {
  public static override paths = [['bench', 'limits']];

  public static override usage = Command.Usage({
    description:
      'Measures how far the admitted rate exceeds or falls short of an account limit when its requests reach several instances, in virtual time.',
    examples: [['All cases', 'acaciadrum bench limits --seeds 1,2,3']],
  });

  public seeds = Option.String('--seeds', '1,2,3', { description: 'Seeds of the load.' });

  protected measure(): Promise<readonly object[]> {
    return runLimitsBench(parseNumbers(this.seeds));
  }
}

export class BenchControlCommand extends BenchCommand {
  public static override paths = [['bench', 'control']];

  public static override usage = Command.Usage({
    description:
      'Measures the delay, CPU time, memory and message size of one entry instance by number of streams, peers, servers and accounts, and the increase for each additional one.',
    examples: [['All measurements', 'acaciadrum bench control --json']],
  });

  protected measure(): Promise<readonly object[]> {
    return runControlBench();
  }
}
