Feature: Spreading and membership

  Scenario: Requests go on while the store is down
    Given the deployment "bandiera" is running
    And the store is down
    When every account asks for each of its routes
    Then every answer is whole and belongs to its request

  Scenario: A leaving agent costs no request although the list still shows it
    Given the deployment "bandiera" is running
    When the agent of "prefetture-1" leaves
    And every account asks for each of its routes
    Then every answer is whole and belongs to its request
    And target "prefetture-1" executed 0 operations

  Scenario: All agents of a service replaced at the same moment cost no request
    Given the deployment "bandiera" is running
    When the agents of "prefetture" are replaced
    And every account asks for each of its routes
    Then every answer is whole and belongs to its request
