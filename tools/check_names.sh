#!/usr/bin/env bash
# Fails if a source outside platform/ and deploy/ uses a name of the operators'
# platform: an HTTP header, a field of its documents or a path of its API.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Persimmonring-|pathPrefix|timeoutMs|goalMs|maxAttempts|retainContext|retentionS|gapAimMs|healthPath|maxConns|kvCapacityTokens|eventTokens|machineClass|inFailureBudget|heartbeatAddr|callSeq|coldLeftMs|innerPorts|configApplyMs|graceS|fleetbench|Api-Key|apiKeys|ratePerS|strictRevoke|revokeMs|quotaSlack|maxFds'
if git ls-files --cached --others --exclude-standard 'src/*' 'include/*' 'apps/*' 'fakes/*' 'schema/*' |
  xargs grep -nE "$names"; then
  echo "names of the platform are used outside platform/" >&2
  exit 1
fi
echo "names: clean"
# Two tables with the same name in one namespace link without an error, and the
# wrong verifier then rejects valid buffers.
twice=$(grep -hE '^(table|struct|enum|union) ' schema/*.fbs | awk '{print $2}' | sort | uniq -d)
if [ -n "$twice" ]; then
  echo "defined more than once in schema/: $twice" >&2
  exit 1
fi
echo "schema: each name is defined once"
