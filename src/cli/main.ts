#!/usr/bin/env node
/** The `acaciadrum` command line. */
import { Builtins, Cli } from 'clipanion';
import {
  BackendCommand,
  EntryCommand,
  PlatformCommand,
  SettingsCheckCommand,
} from './DaemonCommands.js';
import {
  BenchControlCommand,
  BenchLimitsCommand,
  BenchRecoveryCommand,
  BenchThroughputCommand,
} from './BenchCommands.js';
import { DemoCommand } from './DemoCommand.js';
import { SoakCommand } from './SoakCommand.js';
import {
  TicketCheckCommand,
  TicketExplainCommand,
  TicketFileCommand,
  TicketListCommand,
  TicketSettleCommand,
  TicketShowCommand,
  TicketStatusCommand,
} from './TicketCommands.js';

const cli = new Cli({
  binaryLabel: 'acaciadrum',
  binaryName: 'acaciadrum',
  binaryVersion: '0.1.0',
});

const COMMANDS = [
  Builtins.HelpCommand,
  Builtins.VersionCommand,
  EntryCommand,
  PlatformCommand,
  BackendCommand,
  SettingsCheckCommand,
  TicketCheckCommand,
  TicketFileCommand,
  TicketSettleCommand,
  TicketShowCommand,
  TicketListCommand,
  TicketExplainCommand,
  TicketStatusCommand,
  DemoCommand,
  BenchThroughputCommand,
  BenchRecoveryCommand,
  BenchLimitsCommand,
  BenchControlCommand,
  SoakCommand,
];

for (const command of COMMANDS) cli.register(command);

await cli.runExit(process.argv.slice(2));
