import { quotaFaults } from '../fakes/virtual/quotaflood';
import { describeFloods } from '../fakes/virtual/quotafloodsuite';

describeFloods([
  ['the owner is killed', 200, 2, quotaFaults.ownerKilled],
  ['a third of the VMs is cut off', 200, 2, quotaFaults.thirdCutOff],
]);
