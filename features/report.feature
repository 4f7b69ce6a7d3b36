Feature: What operators see
  A target that reports healthy until it stops is visible on the report.

  Scenario: A stalled pool spends the budget under its own names
    Given the deployment "swanreach" is running
    When account "state-offices" asks for route "issue-credit" 5 times
    And every target of service "credits" stalls
    And account "state-offices" asks for route "issue-credit" with 0.9 s to spare, twice
    Then the burn report puts 2 missed requests down to service "credits"
    And "report burn --json" exits with 1 and names route "issue-credit" in alert "fast"
    And the trace of the last request shows a lost attempt at "credits" and its time left
    And "status" exits with 0 and shows "pool credits"

  Scenario: An entry that does not answer is said to be missing
    Given the deployment "swanreach" is running
    When account "state-offices" asks for route "issue-credit" 2 times
    Then "report burn" with an entry that is gone exits with 3 and shows "PARTIAL"

  Scenario: Counts outlive the entry that made them
    Given the deployment "swanreach" is running
    When account "state-offices" asks for route "issue-credit" 4 times
    And entry 1 leaves its snapshot and is gone
    Then the burn report of entry 2 counts 4 requests, some of them stale

  Scenario: Refusals stand apart, under the account that met them
    Given the deployment "swanreach" is running
    When account "state-offices" asks for route "issue-credit" 2 times
    And account "bench-technicians" is refused route "issue-credit"
    Then the burn report has 1 refusal of "bench-technicians" and no missed request

  Scenario: Wrong input is named
    Given the deployment "swanreach" is running
    Then "status --colour=red" exits with 2 and shows "unknown flag --colour"
    And "report burn --window=7d" exits with 2 and shows "7d"

  Scenario: One request from the command line
    Given the deployment "swanreach" is running
    Then a request for "reseller-query" as "reseller-metro" from the command line exits with 0
    And a request for "no-such-route" as "reseller-metro" from the command line exits with 1
