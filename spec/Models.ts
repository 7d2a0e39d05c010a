/** All models. */
import type { Model } from './Checker.js';
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
] as unknown as readonly Model<object>[];
