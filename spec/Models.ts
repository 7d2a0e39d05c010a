/** All models. */
import type { Model } from './Checker.js';
import { attemptModel } from './AttemptModel.js';
import { claimModel } from './ClaimModel.js';
import { checkedLeaseModel, uncheckedLeaseModel } from './LeaseModel.js';
import { spreadModel } from './SpreadModel.js';
import { streamModel } from './StreamModel.js';
import { ticketCommitModel } from './TicketCommitModel.js';

export const MODELS = [
  ticketCommitModel,
  claimModel,
  checkedLeaseModel,
  uncheckedLeaseModel,
  streamModel,
  spreadModel,
  attemptModel,
] as unknown as readonly Model<object>[];
